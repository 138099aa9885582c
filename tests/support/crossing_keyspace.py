"""A keyspace in which another client's commands cross those of the client under test."""

from runloft.lab.keyspace import Keyspace, Session


class CrossingKeyspace(Keyspace):
    """A keyspace that records what is requested, and executes another client's commands in between."""

    def __init__(self, unix_ns=lambda: 0):
        super().__init__(unix_ns)
        self.cross((), 0)
        self._is_in_transaction = False

    def cross(self, crossing, position):
        """Execute the commands ``crossing`` right after command number ``position``, counted from here."""
        self.requested = []
        self._crossing = crossing
        self._position = position

    def execute(self, session, words):
        # Commands of a transaction are executed at once, and those that set up a connection don't count.
        if self._is_in_transaction or words[0] in (b"CLIENT", b"SELECT"):
            return super().execute(session, words)
        self._is_in_transaction = words[0] == b"EXEC"
        reply = super().execute(session, words)
        self._is_in_transaction = False
        self.requested.append(words[0])
        if len(self.requested) == self._position:
            self._cross()
        return reply

    def finish(self):
        """Execute the crossing commands if fewer commands than their position were executed."""
        if len(self.requested) < self._position:
            self._cross()

    def _cross(self):
        for words in self._crossing:
            super().execute(Session(), words)
