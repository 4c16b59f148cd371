"""Builds the configuration of a waxwinglatch fleet and prints it as JSON.

The library needs only Python's standard library. It checks what it can without a fleet and lists
every error; ``waxwing validate`` and the control daemons check again, with further rules.

    fleet = Fleet(loads_per_second=1.5, concurrent_loads=10)
    fleet.team("counter", rate=1000, burst=20000)
    fleet.route("models", "/v1", kind="model")
    fleet.model("reply-small", version="1", memory_mib=16384)
    fleet.engine("engine-1", vm="target-1", data_centre="dc-1", address="10.0.0.1:9000",
                 accelerators=2, accelerator_memory_mib=81920)
    fleet.main()
"""

import argparse
import ipaddress
import json
import re
import sys

_ID = re.compile(r"[A-Za-z0-9._:/-]{1,64}\Z")
_HASH = re.compile(r"[0-9a-fA-F]{64}\Z")
_KINDS = ("model", "service")
_ACCESS = ("keyed", "open")
_IDEMPOTENCY = ("by_method", "idempotent", "non_idempotent", "claimed")
_RESIDENCY = ("pinned", "on_demand")
_LISTS = ("teams", "keys", "routes", "models", "adapters", "targets")


class ConfigError(ValueError):
    """The configuration has errors; ``issues`` lists them as pairs of path and message."""

    def __init__(self, issues):
        super().__init__("\n".join(f"{path}: {message}" for path, message in issues))
        self.issues = issues


class Fleet:
    """Configuration of a fleet. Optional fields that are ``None`` take the schema's default."""

    def __init__(self, loads_per_second, concurrent_loads, concurrent_adapter_loads=None):
        self._config = {name: [] for name in _LISTS}
        self._config["weight_store"] = _present(
            loads_per_second=loads_per_second,
            concurrent_loads=concurrent_loads,
            concurrent_adapter_loads=concurrent_adapter_loads,
        )

    def team(self, id, rate, burst, weight=None):
        """Adds a team. Rate is in tokens a second, burst in tokens, over all VMs."""
        self._add(
            "teams", id=id, rate_tokens_per_second=rate, burst_tokens=burst, weight=weight
        )

    def key(self, id, team, hash, priority=None):
        """Adds a key by its hash. ``waxwing key add`` makes keys; see also :meth:`keep_keys`."""
        self._add("keys", id=id, team=team, hash=hash, priority=priority)

    def keep_keys(self, current):
        """Adds the keys of a configuration that ``waxwing get`` printed.

        Applying a configuration replaces the whole one in force, so keys that it lacks are revoked.
        """
        self._config["keys"].extend(current.get("keys", []))

    def route(self, id, path_prefix, kind, service=None, **options):
        """Adds a route. Options are the schema's fields, such as ``idempotency``."""
        self._add(
            "routes", id=id, path_prefix=path_prefix, kind=kind, service=service, **options
        )

    def model(self, id, version, memory_mib, **options):
        """Adds a model. Options: span, residency, min_copies, max_tokens_default."""
        self._add("models", id=id, version=version, memory_mib=memory_mib, **options)

    def adapter(self, id, model, version, memory_mib, residency=None):
        """Adds an adapter of a model."""
        self._add(
            "adapters",
            id=id,
            model=model,
            version=version,
            memory_mib=memory_mib,
            residency=residency,
        )

    def engine(self, id, vm, data_centre, address, accelerators, accelerator_memory_mib, **options):
        """Adds a model engine. Options: slots, checks_fencing, checks_origin, draining."""
        self._add(
            "targets",
            id=id,
            vm=vm,
            data_centre=data_centre,
            address=address,
            kind="engine",
            accelerators=accelerators,
            accelerator_memory_mib=accelerator_memory_mib,
            **options,
        )

    def service_target(self, id, vm, data_centre, address, service, **options):
        """Adds one instance of a plain service. Options: slots, draining."""
        self._add(
            "targets",
            id=id,
            vm=vm,
            data_centre=data_centre,
            address=address,
            kind="service",
            service=service,
            **options,
        )

    def issues(self):
        """Returns all errors as pairs of path and message."""
        return _Checker(self._config).run()

    def to_dict(self):
        """Returns the configuration.

        Raises :class:`ConfigError` when it has errors.
        """
        issues = self.issues()
        if issues:
            raise ConfigError(issues)
        return json.loads(json.dumps(self._config))

    def main(self):
        """Prints the configuration. Exits with 3 and lists all errors when it has some."""
        parser = argparse.ArgumentParser(description="Prints the configuration as JSON.")
        parser.add_argument(
            "--keys", metavar="FILE", help="output of 'waxwing get', whose keys are kept"
        )
        arguments = parser.parse_args()
        if arguments.keys:
            with open(arguments.keys, encoding="utf-8") as file:
                self.keep_keys(json.load(file))
        try:
            config = self.to_dict()
        except ConfigError as error:
            print(f"the configuration has {len(error.issues)} errors", file=sys.stderr)
            print(error, file=sys.stderr)
            sys.exit(3)
        json.dump(config, sys.stdout, indent=2)
        print()

    def _add(self, list_name, **fields):
        self._config[list_name].append(_present(**fields))


def _present(**fields):
    return {name: value for name, value in fields.items() if value is not None}


class _Checker:
    """Collects the errors of a configuration."""

    def __init__(self, config):
        self.config = config
        self.found = []

    def run(self):
        for name in _LISTS:
            self._check_ids(name)
        self._check_teams()
        self._check_routes()
        self._check_models()
        self._check_targets()
        store = self.config["weight_store"]
        if not store["loads_per_second"] > 0:
            self._add("weight_store.loads_per_second", "must be greater than 0")
        for field in ("concurrent_loads", "concurrent_adapter_loads"):
            self._check_number("weight_store", store, field, 1)
        return self.found

    def _add(self, path, message):
        self.found.append((path, message))

    def _parts(self, name):
        for index, part in enumerate(self.config[name]):
            yield f"{name}[{index}]", part

    def _ids(self, name):
        return {part.get("id") for part in self.config[name]}

    def _check_ids(self, name):
        seen = set()
        for path, part in self._parts(name):
            for field in ("id", "version", "vm", "data_centre", "service"):
                if field in part and not _ID.match(str(part[field])):
                    self._add(
                        f"{path}.{field}",
                        "must have 1 to 64 letters, digits and characters out of ._:/-",
                    )
            if part["id"] in seen:
                self._add(f"{path}.id", f"'{part['id']}' is already in the list")
            seen.add(part["id"])

    def _check_number(self, path, part, field, least, most=2**63):
        value = part.get(field)
        if value is None:
            return
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if not is_whole or not least <= value <= most:
            self._add(f"{path}.{field}", f"must be a whole number from {least} to {most}")

    def _check_name(self, path, part, field, names):
        if field in part and part[field] not in names:
            self._add(f"{path}.{field}", f"must be one of {', '.join(names)}")

    def _check_reference(self, path, part, field, ids, what):
        if part.get(field) not in ids:
            self._add(f"{path}.{field}", f"there is no {what} '{part.get(field)}'")

    def _check_teams(self):
        tokens = [model.get("max_tokens_default", 256) for model in self.config["models"]]
        largest = max((value for value in tokens if isinstance(value, int)), default=0)
        for path, team in self._parts("teams"):
            self._check_number(path, team, "rate_tokens_per_second", 0)
            self._check_number(path, team, "burst_tokens", 1)
            self._check_number(path, team, "weight", 1, 1000)
            burst = team["burst_tokens"]
            if isinstance(burst, int) and burst < largest:
                message = f"must be at least {largest}, which one model request takes by default"
                self._add(f"{path}.burst_tokens", message)
        hashes = set()
        for path, key in self._parts("keys"):
            self._check_reference(path, key, "team", self._ids("teams"), "team")
            self._check_number(path, key, "priority", 0, 9)
            if not _HASH.match(str(key.get("hash"))):
                self._add(f"{path}.hash", "must be 64 hexadecimal digits")
            elif key["hash"].lower() in hashes:
                self._add(f"{path}.hash", "is already the hash of another key")
            else:
                hashes.add(key["hash"].lower())

    def _check_routes(self):
        services = {target.get("service") for target in self.config["targets"]}
        prefixes = set()
        for path, route in self._parts("routes"):
            self._check_name(path, route, "kind", _KINDS)
            self._check_name(path, route, "access", _ACCESS)
            self._check_name(path, route, "idempotency", _IDEMPOTENCY)
            self._check_number(path, route, "timeout_ms", 1, 3_600_000)
            self._check_number(path, route, "max_body_bytes", 0, 64 * 1024 * 1024)
            self._check_number(path, route, "request_tokens", 0, 1_000_000_000)
            prefix = route["path_prefix"]
            if not prefix.startswith("/"):
                self._add(f"{path}.path_prefix", "must start with '/'")
            if prefix.rstrip("/") in prefixes:
                self._add(f"{path}.path_prefix", "is also the prefix of another route")
            prefixes.add(prefix.rstrip("/"))
            if route["kind"] == "service":
                self._check_reference(path, route, "service", services - {None}, "service")
            elif "service" in route:
                self._add(f"{path}.service", "must be absent for kind 'model'")
            if route.get("access") == "open" and route.get("idempotency") == "claimed":
                self._add(f"{path}.idempotency", "claims need a keyed route")

    def _check_models(self):
        engines = [
            target
            for target in self.config["targets"]
            if target["kind"] == "engine" and not target.get("draining")
        ]
        models = {model["id"]: model for model in self.config["models"]}
        for path, model in self._parts("models"):
            self._check_name(path, model, "residency", _RESIDENCY)
            for field in ("memory_mib", "span", "min_copies", "max_tokens_default"):
                self._check_number(path, model, field, 1)
            if not any(_fits(model, 0, engine) for engine in engines):
                self._add(f"{path}.memory_mib", "no engine in service can hold the model")
        for path, adapter in self._parts("adapters"):
            self._check_name(path, adapter, "residency", _RESIDENCY)
            self._check_number(path, adapter, "memory_mib", 1)
            self._check_reference(path, adapter, "model", models, "model")
            if adapter["id"] in models:
                self._add(f"{path}.id", f"'{adapter['id']}' is also the id of a model")
            model = models.get(adapter["model"])
            if model and not any(_fits(model, adapter["memory_mib"], e) for e in engines):
                self._add(f"{path}.memory_mib", "no engine in service has room for it")

    def _check_targets(self):
        addresses = set()
        for path, target in self._parts("targets"):
            self._check_number(path, target, "slots", 1, 100_000)
            if target["kind"] == "engine":
                self._check_number(path, target, "accelerators", 1, 1024)
                self._check_number(path, target, "accelerator_memory_mib", 1)
            if not _is_address(target["address"]):
                self._add(f"{path}.address", "must be an IP address and port")
            if target["address"] in addresses:
                self._add(f"{path}.address", "is also the address of another target")
            addresses.add(target["address"])


def _fits(model, extra_mib, engine):
    """Tells whether an empty engine can hold a copy with adapters."""
    try:
        has_memory = model["memory_mib"] + extra_mib <= engine["accelerator_memory_mib"]
        return has_memory and model.get("span", 1) <= engine["accelerators"]
    except TypeError:
        return False


def _is_address(text):
    host, separator, port = str(text).rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return bool(separator) and port.isascii() and port.isdigit() and 0 < int(port) < 65536
