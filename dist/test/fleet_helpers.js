/** What tests of a whole fleet share. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { callWhole, Fleet, FleetName, waitUntil, } from "../bench/mod.js";
/** A quick engine: a token a millisecond or so. */
export const QUICK_ENGINE = {
    baseStepMs: 1,
    sequenceStepMs: 0.01,
    prefillTokenMs: 0,
    announceMs: 200,
    leaseMs: 1_000,
};
/** Runs `use` with a fleet that is closed afterwards. */
export async function withFleet(options, use) {
    const folder = await mkdtemp(path.join(tmpdir(), "papayatally-test-"));
    const fleet = new Fleet({ engine: QUICK_ENGINE, ...options, folder });
    try {
        await fleet.start();
        await use(fleet);
    }
    finally {
        await fleet.close();
        await rm(folder, { recursive: true, force: true });
    }
}
/** Submits a job of bodies. */
export async function submitJob(address, bodies, options = {}) {
    const workload = options.workload ?? FleetName.workload;
    const lines = bodies.map((body, index) => JSON.stringify({ custom_id: `c${index}`, body }));
    const headers = {};
    if (options.key !== undefined)
        headers["idempotency-key"] = options.key;
    const answer = await callWhole(address, `/v1/jobs?workload=${workload}`, lines.join("\n"), { headers });
    return JSON.parse(answer.text);
}
/** A job's status. */
export async function getJob(address, id) {
    const answer = await callWhole(address, `/v1/jobs/${id}`, undefined);
    return JSON.parse(answer.text);
}
/** Waits until a job has ended. */
export async function waitForJob(fleet, address, id) {
    await waitUntil(fleet.clock, `the end of job ${id}`, async () => {
        const { status } = await getJob(address, id);
        return status === "finished" || status === "cancelled";
    }, 40_000);
    return await getJob(address, id);
}
/** All result lines of a job. */
export async function getResults(address, id) {
    const lines = [];
    let after = "0";
    while (after !== undefined) {
        const answer = await callWhole(address, `/v1/jobs/${id}/results?after=${after}&limit=100`, undefined);
        const page = answer.text.split("\n").filter((line) => line !== "");
        lines.push(...page.map((line) => JSON.parse(line)));
        after = answer.headers["papayatally-next"];
    }
    return lines;
}
/** Numbers from 0 on. */
export function range(count) {
    return Array.from({ length: count }, (_, index) => index);
}
//# sourceMappingURL=fleet_helpers.js.map