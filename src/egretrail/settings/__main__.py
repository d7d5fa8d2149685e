"""Prints the content of ``docs/settings.md``."""

from egretrail.settings import settings_reference

if __name__ == "__main__":
    print(settings_reference(), end="")
