"""The operators command-line tool, ``egretrail``."""


def main() -> None:
    """Run the tool."""
