#!/usr/bin/env bash
# Builds what the scripts of review/4 and later need beside the build of deploy/system.toml. All stand-ins are Python and use
# the packages in target/deps; this compiles them and imports each one, so that a missing package shows here. No network.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q harness/fakes harness/local_cluster harness/client_crowds review/staging_2.py
for part in balancer call_history client deployment instance_list model_server operator plain_server; do
    python3 -c "import harness.fakes.$part"
done
python3 -c "import harness.client_crowds.process_meter"
python3 -c "import sys; sys.path.insert(0, 'review'); import staging_2"
echo "stand-ins: built"
