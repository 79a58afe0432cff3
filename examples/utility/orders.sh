#!/usr/bin/env bash
# The utility's deployments: 13 language servers and 4 receipt servers announce
# themselves under these names.
set -euo pipefail
order() { npx papayatally order "$@" --server "${SERVER:-192.0.2.11:8081}" --operator utility; }
order put_deployment '{"name":"refill-assistant","kind":"MODEL_ENGINE","emphasis":"THROUGHPUT","firstTokenTargetMs":1200,"tokenGapTargetMs":26}'
order put_deployment '{"name":"receipts","kind":"PLAIN_SERVICE"}'
order put_model '{"name":"refill-model","deployment":"refill-assistant","version":"1"}'
order put_workload '{"name":"refill-questions","deployment":"refill-assistant","model":"refill-model","timeoutMs":60000,"batchAllowed":true}'
order put_workload '{"name":"fill-receipts","deployment":"receipts","pathPrefix":"/receipts","nonIdempotent":true,"timeoutMs":10000,"batchAllowed":true}'
order put_rule '{"deployment":"refill-assistant","batchReserve":1}'
