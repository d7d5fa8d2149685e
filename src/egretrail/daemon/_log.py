"""Log configuration: each event is one line of key=value pairs on standard error."""

import logging
import sys

import structlog


def configure_log(level: str) -> None:
    """Write events of ``level`` or above to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
