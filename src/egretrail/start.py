"""Runs a gateway on an instance: ``python -m egretrail.start``."""

import os
import signal
import sys
from types import FrameType


def _stop_before_start(number: int, frame: FrameType | None) -> None:
    """End the process; it has neither connections nor anything to write yet."""
    os._exit(0)


def _open_standard_streams() -> None:
    """Open streams that the process was started without, so that no socket gets their numbers.

    The log is written to the number of standard output.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def main() -> int:
    """Run the gateway until a signal stops it."""
    # The imports below take a second on a slow machine. Until the gateway handles signals, the
    # default action of SIGHUP, which asks for a reload of the settings, would end the process, and
    # that of the others would count as a failure.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop_before_start)
    _open_standard_streams()
    from egretrail import gateway, platform

    return gateway.run_gateway(
        gateway.Platform(
            settings_file=platform.NodeFile(gateway.settings_path(platform.SETTINGS_VARIABLE)),
            open_store=lambda settings: platform.PlatformStore(settings.store_address),
            layout=platform.PlatformLayout(),
            contract=platform.PlatformContract(),
        )
    )


if __name__ == "__main__":
    sys.exit(main())
