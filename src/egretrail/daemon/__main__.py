"""Runs the daemon by ``python -m egretrail.daemon``."""

from egretrail.daemon import main

main()
