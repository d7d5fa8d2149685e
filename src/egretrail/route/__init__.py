"""Matching of requests to routes."""

from egretrail.route._acceptance import acceptance_faults, existing_conflicts
from egretrail.route._path import PathFault, UnsafePath, normalised_host, path_segments
from egretrail.route._table import RouteMatch, RouteTable

__all__ = [
    "PathFault",
    "RouteMatch",
    "RouteTable",
    "UnsafePath",
    "acceptance_faults",
    "existing_conflicts",
    "normalised_host",
    "path_segments",
]
