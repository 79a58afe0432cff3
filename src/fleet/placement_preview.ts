/**
 * Shows where a request or an item would be sent now, and why, without sending it. It
 * takes no part in later decisions: nothing is counted as in flight, and the flow
 * between data centres decides on a copy of its state.
 */
import { LoadKind } from "../membership/mod.ts";
import {
  stripQuery,
  tryGetLeastLoaded,
  trySelectServer,
} from "../policy/mod.ts";
import { RequestKind, type Route } from "../schema/mod.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import {
  type Placement,
  type PlacementCandidate,
  PlacementOutcome,
  type ServicePlacement,
} from "./placement.ts";
import { createOnlineNeed } from "./online_flow_need.ts";
import type { FlowNeed, RemoteFlow } from "./remote_flow.ts";
import type { RoutingView } from "./routing_view.ts";
import type { PoolServer, ServerPool } from "./server_pool.ts";
import type { ServiceTimes } from "./service_times.ts";

/** Options of a {@linkcode PlacementPreview}. */
export interface PlacementPreviewOptions {
  readonly dataCentre: string;
  readonly view: RoutingView;
  readonly pool: ServerPool;
  readonly remoteFlow: RemoteFlow | undefined;
  readonly serviceTimes: ServiceTimes;
  readonly metrics: Metrics;
}

/** Answers the queries of operators. */
export class PlacementPreview {
  readonly #options: PlacementPreviewOptions;

  constructor(options: PlacementPreviewOptions) {
    this.#options = options;
  }

  /**
   * Reads `host`, `path`, `part` (of the prompt, any number) and `bytes` (of the body).
   */
  answer(query: URLSearchParams): Placement {
    const { view, dataCentre, metrics } = this.#options;
    const path = stripQuery(query.get("path") ?? "/");
    const route = view.routes?.tryMatch(query.get("host") ?? "", path);
    if (route === undefined) {
      metrics.count(MetricName.placementPreviews, 1, { outcome: "no_route" });
      return { route: "", kind: "", dataCentre, services: [] };
    }
    const services = route.targets.map(({ service, weight }) => ({
      ...this.#placeAt(service, route, query),
      weight,
    }));
    services.forEach(({ outcome }) =>
      metrics.count(MetricName.placementPreviews, 1, { outcome })
    );
    const kind = RequestKind[route.kind] ?? "";
    return { route: route.name, kind, dataCentre, services };
  }

  #placeAt(
    service: string,
    route: Route,
    query: URLSearchParams,
  ): Omit<ServicePlacement, "weight"> {
    const { pool, dataCentre, remoteFlow } = this.#options;
    const all = pool.getServers(service);
    const candidates = all.filter(({ isLimited }) => !isLimited);
    const kind = route.kind === RequestKind.BATCH
      ? LoadKind.batch
      : LoadKind.online;
    const previewFlow = (queues: boolean) =>
      remoteFlow?.preview({
        service,
        kind,
        need: this.#createNeed(service, route, Number(query.get("bytes"))),
        getServers: () => all,
        getAllCandidates: () => all,
        candidates,
        reserve: 0,
        queues,
      }, pool.loads);
    const options = {
      dataCentre,
      prefix: query.getAll("part"),
      // An item here is in no danger of being late, as for the flow.
      slack: kind === LoadKind.batch ? Infinity : undefined,
      getFraction: () => 0,
    };
    const flow = previewFlow(false);
    const free = trySelectServer(candidates, {
      ...options,
      remote: flow?.remote,
    });
    const queued = free ?? tryGetLeastLoaded(candidates, {
      ...options,
      remote: previewFlow(true)?.remote,
    });
    const outcome = free !== undefined
      ? PlacementOutcome.slot
      : queued !== undefined
      ? PlacementOutcome.queue
      : PlacementOutcome.none;
    const waitMs = flow?.waitMs ?? 0;
    return {
      service,
      outcome,
      server: queued?.id ?? "",
      flow: flow?.reason ?? "",
      waitMs: Number.isFinite(waitMs) ? waitMs : null,
      costMs: flow?.costMs ?? 0,
      headroom: flow?.headroom ?? 0,
      candidates: all.map(describeServer),
    };
  }

  #createNeed(service: string, route: Route, bytes: number): FlowNeed {
    const need = createOnlineNeed({
      request: "",
      serviceMs: this.#options.serviceTimes.getMeanMs(service),
      targetMs: route.latencyTargetMs,
      waitedMs: 0,
      bodyBytes: Math.max(0, bytes || 0),
    });
    return route.kind === RequestKind.BATCH
      ? { ...need, lateAfterMs: Infinity }
      : need;
  }
}

function describeServer(
  { id, dataCentre, slots, busy, batch, isLimited }: PoolServer,
): PlacementCandidate {
  return { id, dataCentre, slots, busy, batch, isLimited };
}
