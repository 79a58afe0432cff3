#!/usr/bin/env bash
# Cartabaza's deployments: 13 model servers and 3 shop servers announce
# themselves under these names.
set -euo pipefail
order() { npx papayatally order "$@" --server "${SERVER:-198.51.100.11:8081}" --operator cartabaza; }
order put_deployment '{"name":"appraisal","kind":"MODEL_ENGINE","emphasis":"LATENCY","firstTokenTargetMs":1200,"tokenGapTargetMs":26}'
order put_deployment '{"name":"shop","kind":"PLAIN_SERVICE"}'
order put_model '{"name":"card-model","deployment":"appraisal","version":"1"}'
order put_workload '{"name":"quotes","deployment":"appraisal","model":"card-model","timeoutMs":60000,"batchAllowed":true}'
order put_workload '{"name":"offers","deployment":"shop","pathPrefix":"/shop/offers","nonIdempotent":true,"timeoutMs":10000}'
order put_workload '{"name":"pages","deployment":"shop","pathPrefix":"/shop","timeoutMs":10000}'
