"""All rows of the page by role, in the page's order."""

from runloft.lab.scale.capacity_page import role_rows, scheduler_rows
from runloft.lab.scale.capacity_page.rows import Role, Row

ROWS_BY_ROLE: dict[Role, tuple[Row, ...]] = {
    Role.PATH: scheduler_rows.PATH_ROWS,
    Role.CONTROL: scheduler_rows.CONTROL_ROWS,
    Role.DISCOVERY: role_rows.DISCOVERY_ROWS,
    Role.STORE: role_rows.STORE_ROWS,
    Role.NODES: role_rows.NODES_ROWS,
    Role.CLIENTS: role_rows.CLIENTS_ROWS,
    Role.TOOL: role_rows.TOOL_ROWS,
    Role.SCRAPER: role_rows.SCRAPER_ROWS,
}
ROWS: tuple[Row, ...] = tuple(row for rows in ROWS_BY_ROLE.values() for row in rows)
