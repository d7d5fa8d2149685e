"""Gateway settings for tests."""

from egretrail.gateway import GatewaySettings


def gateway_settings(ip: str = "127.0.0.1", zone: str = "zone-a") -> GatewaySettings:
    """Return the settings of an instance in a small deployment."""
    return GatewaySettings(
        name=f"node-{ip}",
        ip=ip,
        availability_zone=zone,
        traffic_address=f"{ip}:8001",
        ready_address=f"{ip}:8002",
        directory_address=f"{ip}:8003",
        peer_port=8004,
        metrics_port=8005,
        relay_port=8007,
        seeds=[],
        store_address="127.0.0.1:8006",
        memory_mb=300,
        capacity=1.0,
        stop_grace_s=6.0,
        directory_ttl_max_s=5.0,
        repeat_ratio=0.2,
        repeat_window_s=10.0,
        repeat_slack=60.0,
    )
