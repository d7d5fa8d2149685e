"""Asynchronous drivers: they connect the decision packages to sockets, peers and the clock."""

from egretrail.runtime._upstream_client import UpstreamClient, UpstreamRequest, UpstreamResult

__all__ = ["UpstreamClient", "UpstreamRequest", "UpstreamResult"]
