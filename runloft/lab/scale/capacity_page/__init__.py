"""The tables of docs/CAPACITY.md, worked out from committed documents and the operators' size."""
