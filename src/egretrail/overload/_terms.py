"""Which services the configuration and the settings call to protect from overload."""

from collections.abc import Mapping

from egretrail.overload._policy import ServiceTerms
from egretrail.traffic import FleetConfig, ObjectiveTable


def service_terms(
    config: FleetConfig, objectives: ObjectiveTable, *, shares_capacity: bool
) -> Mapping[str, ServiceTerms]:
    """Return the terms of the services whose callers are ranked; others are left out.

    Made for services on which requests of several priorities or client accounts compete. Where no
    caller is to be preferred, refusing some of them early would harm them and help nobody.
    ``shares_capacity`` is the setting by which client accounts share capacity fairly; it has no
    effect without accounts or at services that only public routes use.
    """
    shared = set()
    if shares_capacity and config.accounts:
        shared = {
            part.service for route in config.routes if not route.is_public for part in route.parts
        }
    longest = objectives.longest_by_service()
    return {
        service: ServiceTerms(
            len(objectives_s) > 1, service in shared, objectives_s, longest[service]
        )
        for service, objectives_s in objectives.by_service().items()
        if len(objectives_s) > 1 or service in shared
    }
