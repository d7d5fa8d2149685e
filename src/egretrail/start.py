"""Runs a gateway on an instance: ``python -m egretrail.start``."""

import signal
import sys


def main() -> int:
    """Run the gateway until a signal stops it."""
    # The imports below take a second on a slow machine. Until then the default action of SIGHUP,
    # which asks for a reload of the settings, would end the process.
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
