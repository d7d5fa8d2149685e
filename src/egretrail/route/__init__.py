"""Matching of requests to routes."""

from egretrail.route._acceptance import acceptance_faults, standing_conflicts
from egretrail.route._path import PathFault, UnsafePath, normalised_host, path_segments
from egretrail.route._table import RouteMatch, RouteTable

__all__ = [
    "PathFault",
    "RouteMatch",
    "RouteTable",
    "UnsafePath",
    "acceptance_faults",
    "normalised_host",
    "path_segments",
    "standing_conflicts",
]
