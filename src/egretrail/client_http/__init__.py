"""What ``aiohttp``'s client leaves open about whose response it gives, and how often it sends."""

from egretrail.client_http._middlewares import (
    ResponseRunTogetherError,
    never_resend,
    reject_run_together,
)

__all__ = ["ResponseRunTogetherError", "never_resend", "reject_run_together"]
