/** Orders to backend servers, dissolution, exports and TLS identities. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { appendFile, mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { FleetName, sendRequest, waitUntil } from "../bench/mod.ts";
import { exportOperator, verifyExport } from "../cli/export_files.ts";
import {
  BackendOrder_Action,
  MessageCode,
  Operators,
  TlsSettingsSchema,
} from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
import { createCredentials, RpcClient } from "../sys/rpc.ts";
import { writeCertificates } from "./certificates.ts";
import { QUICK_ENGINE, range, submitJob, withFleet } from "./fleet_helpers.ts";

const { engines, operator } = FleetName;

async function withTempFolder(run: (folder: string) => Promise<void>) {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-operators-"));
  try {
    await run(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

function catchCode(call: Promise<unknown>): Promise<MessageCode | undefined> {
  return call.then(
    () => undefined,
    (error) => error instanceof ServingError ? error.code : undefined,
  );
}

describe("operators", () => {
  it("delivers orders to all servers, also after a restart or an election", () =>
    withFleet({ engines: 2, services: 0 }, async (fleet) => {
      const createLoadOrder = (subject: string) => ({
        case: "backendOrder" as const,
        value: {
          deployment: engines,
          action: BackendOrder_Action.LOAD_ADAPTER,
          subject,
        },
      });
      await fleet.order(createLoadOrder("first"));
      await fleet.order(createLoadOrder("second"));
      const expectedOrders = ["load_adapter first", "load_adapter second"];
      await waitUntil(
        fleet.clock,
        "orders",
        () =>
          fleet.engines.every((engine) =>
            engine.receivedOrders.join() === expectedOrders.join()
          ),
      );
      fleet.engines[0]?.crash();
      const restarted = await fleet.startEngine(0);
      await waitUntil(
        fleet.clock,
        "orders after a restart",
        () => restarted.receivedOrders.join() === expectedOrders.join(),
      );
      await fleet.states[0]?.halt();
      await fleet.order(createLoadOrder("third"));
      await waitUntil(
        fleet.clock,
        "orders by the next leader",
        () =>
          fleet.engines.every((engine) =>
            engine.receivedOrders.includes("load_adapter third")
          ),
      );
    }));

  it("refuses requests, cancels jobs and exports all data on dissolution", () =>
    withFleet({
      engines: 2,
      engine: { ...QUICK_ENGINE, baseStepMs: 10 },
    }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const shortJob = await submitJob(address, [
        { prompt: "a", max_tokens: 2 },
      ]);
      await sendRequest(address, "/receipts", { receipt: "x" }, {
        headers: { "idempotency-key": "x" },
      });
      await submitJob(
        address,
        range(400).map((index) => ({ prompt: `p${index}`, max_tokens: 300 })),
      );
      await fleet.order({
        case: "dissolve",
        value: { deadlineMs: BigInt(fleet.clock.getWallMs() + 500) },
      });
      await waitUntil(
        fleet.clock,
        "the refusal",
        () => fleet.entries.every((entry) => entry.view.isDissolving()),
      );
      const refusal = await sendRequest(address, "/v1/completions", {
        model: FleetName.model,
        prompt: "late",
      });
      expect(JSON.parse(refusal.text)).include({
        code: "PT3010",
        verdict: "not run",
      });
      const client = new RpcClient(
        fleet.entries[0]?.peerAddress ?? "",
        createCredentials(),
      );
      await waitUntil(
        fleet.clock,
        "nothing in flight",
        async () => (await client.call(Operators.method.inFlight, {})).quiet,
      );
      await withTempFolder(async (folder) => {
        const manifest = await exportOperator(client, { operator, folder });
        expect(manifest).include({ jobs: 2, items: 401, requests: 1 });
        expect(manifest.running).deep.equal([]);
        expect((await verifyExport(folder)).items).equal(401);
        const jobFile = path.join(folder, `job-${shortJob.id}.jsonl`);
        const firstExport = await readFile(jobFile, "utf8");
        await exportOperator(client, { operator, folder });
        expect(await readFile(jobFile, "utf8")).equal(firstExport);
        await appendFile(jobFile, "{}\n");
        expect(await catchCode(verifyExport(folder)))
          .equal(MessageCode.EXPORT_INVALID);
      });
      await withTempFolder(async (folder) => {
        const otherManifest = await exportOperator(client, {
          operator: "other",
          folder,
        });
        expect(otherManifest).include({ jobs: 0, items: 0, requests: 0 });
      });
      client.close();
    }));

  it("accepts orders only from the operator that the certificate names", () =>
    withTempFolder(async (folder) => {
      const names = ["process", operator, "other"];
      const files = await writeCertificates(folder, names);
      const tls = files.get("process");
      await withFleet({
        engines: 1,
        entrySettings: { tls },
        stateSettings: { tls },
      }, async (fleet) => {
        const connect = (name: string) =>
          new RpcClient(
            fleet.entries[0]?.peerAddress ?? "",
            createCredentials(create(TlsSettingsSchema, files.get(name))),
          );
        const order = {
          orderId: "tls",
          operator,
          expectedVersion: fleet.entries[0]?.view.configuration.version,
          action: {
            case: "putRule" as const,
            value: { deployment: engines, batchReserve: 1 },
          },
        };
        const otherClient = connect("other");
        expect(
          await catchCode(otherClient.call(Operators.method.submit, order)),
        )
          .equal(MessageCode.ORDER_FORBIDDEN);
        const ownClient = connect(operator);
        const outcome = await ownClient.call(Operators.method.submit, order);
        expect(outcome.accepted).equal(true);
        const insecureClient = new RpcClient(
          fleet.entries[0]?.peerAddress ?? "",
          createCredentials(),
        );
        expect(
          await catchCode(insecureClient.call(Operators.method.submit, order)),
        )
          .equal(MessageCode.STATE_UNREACHABLE);
        [otherClient, ownClient, insecureClient].forEach((client) =>
          client.close()
        );
      });
    }));
});
