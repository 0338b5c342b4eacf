"""Messages between the processes of a direct deployment.

Datagrams carry small messages that are repeated. A call, which has a TCP
connection of its own, carries what is large or needs an answer.
"""
