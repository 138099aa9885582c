"""The commands of the Redis stand-in."""

from runloft.lab.keyspace import Error, Keyspace, Session


def test_commands_behave_as_redis_documents_them():
    now = [0]
    keys, one, two = Keyspace(lambda: now[0]), Session(), Session()

    def execute(session, *words):
        return keys.execute(session, [w if isinstance(w, bytes) else str(w).encode() for w in words])

    execute(one, "SET", "k", "1", "PX", 100)
    assert execute(one, "SET", "k", "2", "NX") is None and execute(one, "GET", "k") == b"1"
    now[0] = 100_000_000
    assert execute(one, "GET", "k") is None and execute(one, "SET", "k", "2", "XX") is None
    execute(one, "SADD", "s", "a", "b")
    assert isinstance(execute(one, "GET", "s"), Error) and execute(one, "MGET", "s", "k") == [None, None]
    execute(one, "WATCH", "k")
    execute(two, "SET", "k", "3")
    execute(one, "MULTI")
    execute(one, "SET", "k", "4")
    assert execute(one, "EXEC") is None and execute(one, "GET", "k") == b"3"
    execute(one, "MULTI")
    execute(one, "NOPE")
    assert isinstance(execute(one, "EXEC"), Error)
    assert isinstance(execute(one, "GET"), Error)
