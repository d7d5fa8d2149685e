"""Runs a gateway on an instance: ``python -m egretrail.start``."""

import signal
import sys


def main() -> int:
    """Run until told to stop."""
    # Loading the program takes a weak machine a second, in which a hang-up would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
