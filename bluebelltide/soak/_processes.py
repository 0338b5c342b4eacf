"""Controls the processes of a soak: start, signals, files and limits.

It acts only on processes that it has started, by their process ids.
"""

import os
import pathlib
import resource
import shutil
import signal
import subprocess

from bluebelltide.soak import _adapter

TORN_BYTES = b"\x00\x00\x40\x00torn"
"""The start of a log record whose write a power failure interrupted."""


class MachineProcess:
    """The process of one machine, which may be stopped and restarted.

    Attributes:
        machine: The machine.
        is_expected_up: Whether the process should be running now.
    """

    def __init__(
        self,
        machine: _adapter.Machine,
        adapter: _adapter.PlatformAdapter,
        source_root: pathlib.Path,
        folder: pathlib.Path,
    ) -> None:
        """Creates the process's state; `start` starts it.

        Args:
            machine: The machine.
            adapter: Returns the process's command and environment.
            source_root: The folder that contains the programs' sources.
            folder: The folder of the settings and log files.
        """
        self.machine = machine
        self.is_expected_up = False
        self._adapter = adapter
        self._source_root = source_root
        self._settings = folder / f"{machine.name}.settings"
        self._log = folder / f"{machine.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._pause_count = 0
        self._full_disk_count = 0

    def write_settings(self, text: str) -> None:
        """Replaces the settings file."""
        self._settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Starts the process unless it is running."""
        if self.exit_code() is None and self._process is not None:
            return
        environment = {
            "PATH": os.environ.get("PATH", ""),
            # Python imports the programs from this folder even if another
            # copy of them is installed.
            "PYTHONPATH": str(self._source_root),
            **self._adapter.make_environment(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._adapter.make_command(self._source_root, self.machine),
                cwd=self._source_root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_expected_up = True

    def exit_code(self) -> int | None:
        """Returns the exit code, or None if no process has ended."""
        return None if self._process is None else self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.is_expected_up = False
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def request_stop(self) -> None:
        """Asks the process to stop, without waiting until it has ended."""
        self.is_expected_up = False
        self.signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspends the process; pauses may overlap."""
        self._pause_count += 1
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Ends one pause; the process resumes when the last one ends."""
        self._pause_count -= 1
        if not self._pause_count:
            self.signal(signal.SIGCONT)

    def append_torn_record(self) -> None:
        """Appends an incomplete record to the newest log file."""
        logs = self.machine.data_folder.glob("log-*")
        newest = max(logs, key=lambda path: path.stat().st_mtime, default=None)
        if newest is not None:
            with newest.open("ab") as file:
                file.write(TORN_BYTES)

    def delete_data(self) -> None:
        """Deletes the data files of a process that is not running."""
        shutil.rmtree(self.machine.data_folder, ignore_errors=True)

    def fill_disk(self) -> None:
        """Prevents the process's files from growing; calls may overlap."""
        self._full_disk_count += 1
        self._limit_file_size(0)

    def free_disk(self) -> None:
        """Undoes one `fill_disk`; files may grow when all are undone."""
        self._full_disk_count -= 1
        if not self._full_disk_count:
            self._limit_file_size(resource.RLIM_INFINITY)

    def _limit_file_size(self, size_bytes: int) -> None:
        if self._process is None or self._process.poll() is not None:
            return
        try:
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_FSIZE,
                (size_bytes, resource.RLIM_INFINITY),
            )
        except ProcessLookupError:
            # The process has just ended; a restarted one has no limit.
            return
