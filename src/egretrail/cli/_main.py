"""Entry point of the tool, with the options that all commands share."""

import os

import click

from egretrail.cli._client import OperatorClient
from egretrail.cli._gateway import gateway
from egretrail.cli._output import Context
from egretrail.cli._report import report
from egretrail.cli._settings import settings
from egretrail.cli._views import explain, instances, routes, upstreams

_HELP = """Operate an egretrail fleet through any of its instances.

Exit codes: 0 done, 1 refused or not in force in time, 2 wrong usage, 3 the instance does not
answer, 4 another operator's change came first. A team's token is taken from EGRETRAIL_TOKEN.
"""


@click.group(help=_HELP)
@click.option(
    "--operator-url",
    envvar="EGRETRAIL_OPERATOR_URL",
    help="The operators' face of any instance, such as http://10.0.0.1:9300.",
)
@click.option("--timeout-s", type=float, default=10.0, show_default=True, help="For each answer.")
@click.pass_context
def main(context: click.Context, operator_url: str | None, timeout_s: float) -> None:
    """Create the context that the commands share."""
    # The token is read from the environment only: every user of the machine can see command lines.
    token = os.environ.get("EGRETRAIL_TOKEN", "")
    context.obj = Context(OperatorClient(operator_url or "", token, timeout_s))


for _command in (settings, routes, upstreams, instances, explain, report, gateway):
    main.add_command(_command)
