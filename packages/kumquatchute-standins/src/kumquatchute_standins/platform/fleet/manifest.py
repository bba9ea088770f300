"""The manifest of an emulated site."""

HOST = "search.example"
TOP_K = 5


def build_manifest(version: int, shards: tuple[str, ...]) -> dict:
    """Return a manifest with two single-service routes and a query route.

    :param shards: services of the query route; without any, it is left out
    """
    common_fields = {
        "host": HOST,
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
    }
    query_route = {
        **common_fields,
        "name": "notes",
        "pathPrefix": "/notes/",
        "routeType": "idempotent",
        "gather": list(shards),
        "topK": TOP_K,
        "minCoverage": 0.5,
    }
    return {
        "version": version,
        "routes": [
            *([query_route] if shards else []),
            {
                **common_fields,
                "name": "fetch",
                "pathPrefix": "/fetch/",
                "routeType": "idempotent",
                "service": "single",
            },
            {
                **common_fields,
                "name": "submit",
                "pathPrefix": "/submit/",
                "routeType": "non_idempotent",
                "service": "single",
            },
        ],
        "services": [
            {"name": name, "maxConns": 26, "warmupS": 3.0, "coldPerS": 0.0}
            for name in (*shards, "single")
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
