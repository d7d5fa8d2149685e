"""Entry point of ``python -m egretrail.daemon``."""

from egretrail.daemon import main

main()
