"""What clients speak: RESP2 on the platform, an object API over HTTP beside it."""
