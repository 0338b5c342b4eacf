"""The processes of a soak: start, signals, files and limits.

Only processes that were started here are touched, by their ids.
"""

import os
import pathlib
import resource
import shutil
import signal
import subprocess

from bluebelltide.soak import _adapter

TORN_BYTES = b"\x00\x00\x40\x00torn"
"""The start of a record that a loss of power cut short."""


class MachineProcess:
    """The process of one machine, which may end and start again.

    Attributes:
        machine: The machine.
        is_expected_up: Whether the process should run now.
    """

    def __init__(
        self,
        machine: _adapter.Machine,
        wire: _adapter.PlatformAdapter,
        root: pathlib.Path,
        folder: pathlib.Path,
    ) -> None:
        """Creates the process's state; `start` starts it.

        Args:
            machine: The machine.
            wire: The fabric's words.
            root: The folder of the programs.
            folder: Where settings and logs are kept.
        """
        self.machine = machine
        self.is_expected_up = False
        self._wire = wire
        self._root = root
        self._settings = folder / f"{machine.name}.settings"
        self._log = folder / f"{machine.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._paused = 0
        self._full = 0

    def write_settings(self, text: str) -> None:
        """Replaces the settings file."""
        self._settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Starts the process unless it runs."""
        if self.ended_with() is None and self._process is not None:
            return
        environment = {
            "PATH": os.environ.get("PATH", ""),
            # The programs come from the given folder, also if another copy
            # of them is installed.
            "PYTHONPATH": str(self._root),
            **self._wire.make_environment(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._wire.make_command(self._root, self.machine),
                cwd=self._root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_expected_up = True

    def ended_with(self) -> int | None:
        """Returns the exit code if the process has ended."""
        return None if self._process is None else self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.is_expected_up = False
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def ask_to_stop(self) -> None:
        """Asks the process to stop; it may take a while."""
        self.is_expected_up = False
        self.signal(signal.SIGTERM)

    def pause(self) -> None:
        """Makes the process stand still; pauses may overlap."""
        self._paused += 1
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Ends one pause."""
        self._paused -= 1
        if not self._paused:
            self.signal(signal.SIGCONT)

    def tear_log(self) -> None:
        """Leaves the start of a record at the end of the newest log."""
        logs = self.machine.data_folder.glob("log-*")
        newest = max(logs, key=lambda path: path.stat().st_mtime, default=None)
        if newest is not None:
            with newest.open("ab") as file:
                file.write(TORN_BYTES)

    def wipe(self) -> None:
        """Removes the files of a process that does not run."""
        shutil.rmtree(self.machine.data_folder, ignore_errors=True)

    def fill_disk(self) -> None:
        """Lets no file of the process grow; may overlap."""
        self._full += 1
        self._limit_files(0)

    def free_disk(self) -> None:
        """Ends one `fill_disk`."""
        self._full -= 1
        if not self._full:
            self._limit_files(resource.RLIM_INFINITY)

    def _limit_files(self, size_bytes: int) -> None:
        if self._process is None or self._process.poll() is not None:
            return
        try:
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_FSIZE,
                (size_bytes, resource.RLIM_INFINITY),
            )
        except ProcessLookupError:
            # It ended in between; the next process has no limit.
            return
