"""The tables of docs/CAPACITY.md, calculated from committed result documents and the sizes in load_cases."""
