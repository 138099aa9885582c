"""The commands of the Redis stand-in."""

from runloft.lab.keyspace import Error, Keyspace, Session


def test_commands_behave_as_redis_documents_them():
    now = [0]
    keys, one, two = Keyspace(lambda: now[0]), Session(), Session()

    def act(session, *words):
        return keys.act(session, [w if isinstance(w, bytes) else str(w).encode() for w in words])

    act(one, "SET", "k", "1", "PX", 100)
    assert act(one, "SET", "k", "2", "NX") is None and act(one, "GET", "k") == b"1"
    now[0] = 100_000_000
    assert act(one, "GET", "k") is None and act(one, "SET", "k", "2", "XX") is None
    act(one, "SADD", "s", "a", "b")
    assert isinstance(act(one, "GET", "s"), Error) and act(one, "MGET", "s", "k") == [None, None]
    act(one, "WATCH", "k")
    act(two, "SET", "k", "3")
    act(one, "MULTI")
    act(one, "SET", "k", "4")
    assert act(one, "EXEC") is None and act(one, "GET", "k") == b"3"
    act(one, "MULTI")
    act(one, "NOPE")
    assert isinstance(act(one, "EXEC"), Error)
    assert isinstance(act(one, "GET"), Error)
