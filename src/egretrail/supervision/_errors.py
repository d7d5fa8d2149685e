"""Descriptions of errors for the log."""

from pathlib import PurePath

#: How many of the innermost calls are named.
_CALLS_MAX = 3


def describe_error(error: BaseException) -> str:
    """Return an error's type and message, or its type alone if its message fails itself."""
    try:
        return repr(error)
    except Exception:
        return type(error).__name__


def error_place(error: BaseException) -> str:
    """Return where an error was raised: the innermost calls, the last one first.

    Of a group, the place of its first error is returned.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    calls = []
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        calls.append(f"{PurePath(code.co_filename).name}:{trace.tb_lineno}:{code.co_name}")
        trace = trace.tb_next
    return "<".join(reversed(calls[-_CALLS_MAX:]))
