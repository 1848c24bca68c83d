#!/usr/bin/env python3
"""Demonstrates a query and a configuration change on loopback.

Prints each command and its output.
"""

import argparse
import json
import os
import subprocess
import sys
import time

import rig as rig_module
from rig import Rig


def run(rig, *arguments, check=True):
    """Runs one subcommand of the binary and prints the command and output."""
    address = next(iter(rig.instances.values())).address
    command = [rig.program("bilberrycourse"), *arguments, "--address", address]
    print("$ bilberrycourse " + " ".join(arguments), flush=True)
    result = subprocess.run(command, text=True, capture_output=True,
                            check=False, env={
                                **os.environ,
                                "BILBERRYCOURSE_TOKEN": rig.token})
    output = result.stdout or result.stderr
    print(output if len(output) < 1500 else output[:1500] + " ...")
    if check and result.returncode != 0:
        sys.exit(f"exit code {result.returncode}: {result.stderr}")
    return output


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    with Rig(os.path.abspath(options.build),
             rig_module.deployment("small")) as rig:
        rig.start()
        document = rig.document
        time.sleep(1)
        query = ["query", "--target", "catalogue", "--caller", "reseller-1",
                 "--body", '{"colour": "blue"}']
        print("--- a query to all shards of the group 'catalogue'")
        run(rig, *query)
        print("--- a configuration change: the group gets 3 services and a "
              "deadline of 500 ms")
        changed = json.loads(json.dumps(document))
        group = changed["groups"]["catalogue"]
        group["services"] = group["services"][:3]
        group["default_deadline_ms"] = 500
        path = os.path.join(rig.folder, "changed.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(changed, file)
        base = rig.get_config("e1")["version"]
        run(rig, "config", "set", path, "--base-version", str(base),
            "--author", "demo", "--reason", "show a change", "--wait", "10")
        print("--- the next query uses the new configuration")
        run(rig, *query)
        run(rig, "config", "history")
    print("--- done")


if __name__ == "__main__":
    main()
