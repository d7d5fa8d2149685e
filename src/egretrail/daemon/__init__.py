"""The entry instance's process, ``egretraild``."""


def main() -> None:
    """Run an entry instance."""
