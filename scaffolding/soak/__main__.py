"""Command line of the soak test: ``python -m scaffolding.soak --seed 1 --seeds 5``."""

import asyncio
import sys

import click

from scaffolding.soak import SoakRun


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds in a row.")
@click.option("--seconds", default=20.0, show_default=True, help="Length of each plan.")
@click.option("--gateways", default=6, show_default=True, help="Gateway processes.")
@click.option("--clients", default=12, show_default=True, help="Clients, one request at a time.")
def main(seed: int, seeds: int, seconds: float, gateways: int, clients: int) -> None:
    """Run seeds, print what each saw, and fail on any broken promise."""
    violations = 0
    for number in range(seed, seed + seeds):
        report = asyncio.run(SoakRun(number, seconds, gateways, clients).run())
        click.echo(str(report))
        violations += len(report.violations)
    click.echo(f"{seeds} seeds, {violations} broken promises")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
