/** Command that asks a running gateway where a request would be sent now, and why. */
import type { Command } from "commander";
import {
  type Placement,
  PLACEMENT_PATH,
  type ServicePlacement,
} from "../fleet/placement.ts";
import { SystemClock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import { createUsageError } from "./order_actions.ts";
import type { Output } from "./output.ts";

/** Limit for the answer of a gateway, in milliseconds. */
const TIMEOUT_MS = 5_000;

/** Adds `placement`. */
export function addPlacementCommand(
  program: Command,
  getOutput: () => Output,
): void {
  program.command("placement")
    .description(
      "Ask a gateway where a request or job would be sent now; sends nothing.",
    )
    .argument("<gateway>", "metrics address of the gateway, as host:port")
    .argument("<host>", "Host header of the request")
    .argument("<path>", "path of the request")
    .option("--part <id...>", "shared parts of the prompt, in order", [])
    .option("--bytes <count>", "length of the body", "0")
    .action(async (
      gateway: string,
      host: string,
      path: string,
      { part, bytes }: { part: string[]; bytes: string },
    ) => {
      if (!/^\d+$/.test(bytes)) {
        throw createUsageError("the length of the body must be a whole number");
      }
      const query = new URLSearchParams({ host, path, bytes });
      part.forEach((id) => query.append("part", id));
      const placement = await queryGateway(gateway, query);
      getOutput().print(formatPlacement(placement), placement);
    });
}

/** Asks the gateway with the given metrics address. */
export async function queryGateway(
  address: string,
  query: URLSearchParams,
): Promise<Placement> {
  const abortController = new AbortController();
  const timer = new SystemClock().startTimer(
    TIMEOUT_MS,
    () => abortController.abort(),
  );
  try {
    const res = await fetch(`http://${address}${PLACEMENT_PATH}?${query}`, {
      signal: abortController.signal,
    });
    if (res.status !== 200) throw new Error(`status ${res.status}`);
    return await res.json() as Placement;
  } catch (error) {
    throw createUsageError(
      `${address} is no metrics address of a running gateway: ${
        getReason(error)
      }`,
    );
  } finally {
    timer.cancel();
  }
}

/** Formats a placement as text. */
export function formatPlacement(placement: Placement): string {
  const { route, kind, dataCentre, services } = placement;
  if (route === "") return "no route matches";
  return [
    `route ${route} (${kind}), gateway in ${dataCentre}`,
    ...services.flatMap(formatService),
  ].join("\n");
}

function formatService(placement: ServicePlacement): string[] {
  const { service, weight, outcome, server, flow, candidates } = placement;
  const choice = {
    slot: `free slot at ${server}`,
    queue: `waits here, then queues at ${server}`,
    none: "no server",
  }[outcome];
  const wait = placement.waitMs === null
    ? "no end"
    : `${Math.round(placement.waitMs)} ms`;
  const cost = Math.round(placement.costMs);
  const headroom = Math.round(placement.headroom);
  return [
    `service ${service} (weight ${weight}): ${choice}`,
    ...(flow === "" ? [] : [
      `  without a free slot here: ${flow}; expected wait ${wait}, ` +
      `cost of leaving ${cost} ms, ${headroom} slots elsewhere`,
    ]),
    ...candidates.map(({ id, dataCentre, slots, busy, batch, isLimited }) =>
      `  ${id} in ${dataCentre}: ${busy} of ${slots} slots, ${batch} items` +
      (isLimited ? ", needs a permission" : "")
    ),
  ];
}
