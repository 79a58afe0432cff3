/**
 * Sends operators' orders to backend servers. Only the control group's leader
 * sends, and the timeout of a request is the remaining time of its lease. A new
 * leader first waits until the previous leader's lease has expired, even if
 * their clocks drift by the assumed maximum. Even a server that ignores fencing
 * numbers therefore receives orders from one sender at a time.
 */
import {
  type Announcement,
  type BackendOrder,
  BackendOrder_Action,
  Entries,
} from "../../schema/mod.ts";
import { selectOrders, type ServerOrder } from "../../policy/mod.ts";
import { CLOCK_DRIFT_BOUND, type ControlMachine } from "../../state/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { getReason } from "../../sys/errors.ts";
import { discardBody, sendHttp } from "../../sys/http.ts";
import type { Log } from "../../sys/log.ts";
import {
  type Routine,
  settle,
  sleep,
  spawnRoutine,
} from "../../sys/routines.ts";
import { RpcClientPool, type RpcCredentials } from "../../sys/rpc.ts";

/** Options of a {@linkcode BackendOrderSender}. */
export interface BackendOrderSenderOptions {
  readonly control: ControlMachine;
  /**
   * Returns the remaining time of this host's leader lease in milliseconds; 0
   * if the host is not the leader.
   */
  readonly getLeaseLeftMs: () => number;
  readonly electionTimeoutMs: number;
  readonly loadConcurrency: number;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
}

interface PlannedOrder extends ServerOrder {
  readonly order: BackendOrder;
  readonly address: string;
  readonly key: string;
}

const POLL_INTERVAL_MS = 100;
const VIEW_TIMEOUT_MS = 1_000;

/** Minimum remaining lease time to start a request, in milliseconds. */
const MIN_LEASE_LEFT_MS = 50;

const ACTION_NAMES = {
  [BackendOrder_Action.ACTION_UNSPECIFIED]: "none",
  [BackendOrder_Action.LOAD_MODEL]: "load_model",
  [BackendOrder_Action.LOAD_ADAPTER]: "load_adapter",
  [BackendOrder_Action.SET_ROLE]: "set_role",
} as const;

/** Sends the orders while this host is the control group's leader. */
export class BackendOrderSender {
  readonly #options: BackendOrderSenderOptions;
  readonly #clients: RpcClientPool;
  /**
   * Outcomes of the orders that servers have accepted or refused, by the key of
   * the order and the server's incarnation. These orders are not sent again.
   */
  readonly #outcomes = new Map<string, string>();
  readonly #inFlight = new Map<string, ServerOrder>();
  #leaseHeldSinceMs: number | undefined;
  #closed = false;

  constructor(options: BackendOrderSenderOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  start(): void {
    spawnRoutine(
      () => this.#runSendLoop(),
      (error) =>
        this.#options.log.error("orders_failed", { reason: getReason(error) }),
    );
  }

  close(): void {
    this.#closed = true;
    this.#clients.close();
  }

  /** Returns the outcomes by order and server, for the dump. */
  getOutcomes(): Record<string, string> {
    return Object.fromEntries(this.#outcomes);
  }

  *#runSendLoop(): Routine<void> {
    while (!this.#closed) {
      yield* sleep(this.#options.clock, POLL_INTERVAL_MS);
      if (!this.#canSend()) continue;
      const orders = this.#options.control.configuration.backendOrders;
      if (orders.length === 0) continue;
      const servers = yield* settle(this.#readServers());
      if (servers.ok && this.#canSend()) this.#startOrders(servers.value);
    }
  }

  /**
   * Whether this host holds the lease, and has held it long enough that the
   * previous leader's lease has expired even at the maximum clock drift.
   */
  #canSend(): boolean {
    const { clock, electionTimeoutMs, getLeaseLeftMs } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (getLeaseLeftMs() < MIN_LEASE_LEFT_MS) {
      this.#leaseHeldSinceMs = undefined;
      return false;
    }
    this.#leaseHeldSinceMs ??= nowMs;
    const previousLeaseMs = electionTimeoutMs * (1 + CLOCK_DRIFT_BOUND);
    return nowMs - this.#leaseHeldSinceMs >= previousLeaseMs;
  }

  /**
   * Returns the newest announcement of each server that any entry knows, without
   * the servers that are leaving.
   */
  async #readServers(): Promise<Announcement[]> {
    const views = await Promise.allSettled(
      this.#options.control.entries.map((entry) =>
        this.#clients.get(entry.address).call(Entries.method.getView, {
          version: this.#options.control.configuration.version,
          entriesVersion: BigInt(this.#options.control.entriesVersion),
          whole: true,
        }, { timeoutMs: VIEW_TIMEOUT_MS })
      ),
    );
    const newestByName = new Map<string, Announcement>();
    views.flatMap((view) =>
      view.status === "fulfilled" ? view.value.announcements : []
    ).forEach((announcement) => {
      const known = newestByName.get(announcement.name);
      const isNewer = known === undefined ||
        announcement.incarnation > known.incarnation ||
        (announcement.incarnation === known.incarnation &&
          announcement.sequence > known.sequence);
      if (isNewer) newestByName.set(announcement.name, announcement);
    });
    return [...newestByName.values()].filter((announcement) =>
      !announcement.leaving
    );
  }

  #startOrders(servers: readonly Announcement[]): void {
    const { control, loadConcurrency } = this.#options;
    const pending = control.configuration.backendOrders.flatMap((order) =>
      servers.filter((server) => isTarget(order, server))
        .map((server) => createPlannedOrder(order, server))
    ).filter((plan) =>
      !this.#outcomes.has(plan.key) && !this.#inFlight.has(plan.key)
    );
    const inFlight = [...this.#inFlight.values()];
    selectOrders(pending, inFlight, loadConcurrency)
      .forEach((plan) => this.#send(plan));
  }

  #send(plan: PlannedOrder): void {
    const { log, getLeaseLeftMs } = this.#options;
    const { order } = plan;
    this.#inFlight.set(plan.key, plan);
    const body = JSON.stringify({
      fencing_number: plan.fencingNumber,
      action: ACTION_NAMES[order.action],
      subject: order.subject,
      version: order.version,
    });
    sendHttp({
      address: plan.address,
      method: "POST",
      path: "/admin/orders",
      headers: { "content-type": "application/json" },
      body,
      usesNewConnection: true,
      headersTimeoutMs: getLeaseLeftMs(),
    }).then((response) => {
      discardBody(response.body);
      // Server errors are retried: the server may be overloaded or failing.
      if (response.status >= 500) return;
      const outcome = response.status < 300
        ? "taken"
        : `refused ${response.status}`;
      this.#outcomes.set(plan.key, outcome);
      log.info("backend_order", {
        server: plan.backendServer,
        fencing_number: plan.fencingNumber,
        outcome,
      });
    }).catch((error) =>
      log.warn("backend_order_unanswered", {
        server: plan.backendServer,
        reason: getReason(error),
      })
    ).finally(() => this.#inFlight.delete(plan.key));
  }
}

function isTarget(order: BackendOrder, server: Announcement): boolean {
  return order.deployment === server.deployment &&
    (order.backendServer === "" || order.backendServer === server.name);
}

function createPlannedOrder(
  order: BackendOrder,
  server: Announcement,
): PlannedOrder {
  const fencingNumber = Number(order.fencingNumber);
  return {
    order,
    fencingNumber,
    backendServer: server.name,
    address: server.address,
    isLoad: order.action !== BackendOrder_Action.SET_ROLE,
    key: `${fencingNumber} ${server.name}/${server.incarnation}`,
  };
}
