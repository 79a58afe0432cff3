/**
 * Applies operators' orders to a configuration. The functions are pure and
 * deterministic. This includes the texts of refusals, which are replicated
 * state.
 */
import { create } from "@bufbuild/protobuf";
import {
  type Configuration,
  ConfigurationSchema,
  type Deployment,
  DeploymentKind,
  MessageCode,
  type Order,
} from "../../schema/mod.ts";

/** Message code and reason of a refused order. */
export interface OrderRefusal {
  readonly code: MessageCode;
  readonly reason: string;
}

/** The changed configuration, or the refusal of the order. */
export type OrderResult =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly refusal: OrderRefusal };

type Action = NonNullable<Order["action"]>;

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/**
 * Maximum number of backend orders kept in the configuration; older ones are
 * assumed to have been delivered.
 */
const MAX_BACKEND_ORDERS = 64;

/** Thrown when an order is refused; caught in {@linkcode applyOrder}. */
class OrderRefusedError extends Error {
  readonly code: MessageCode;

  constructor(reason: string, code: MessageCode = MessageCode.ORDER_INVALID) {
    super(reason);
    this.code = code;
  }
}

function requireCondition(
  condition: boolean,
  reason: string,
): asserts condition {
  if (!condition) throw new OrderRefusedError(reason);
}

function requireName(name: string): void {
  requireCondition(
    NAME_PATTERN.test(name),
    `name "${name}" must match ${NAME_PATTERN.source}`,
  );
}

function upsertByName<T extends { name: string }>(
  rows: readonly T[],
  row: T,
): T[] {
  return [...rows.filter((other) => other.name !== row.name), row]
    .sort((a, b) => (a.name < b.name ? -1 : 1));
}

function removeByName<T extends { name: string }>(
  rows: readonly T[],
  name: string,
): T[] {
  requireCondition(
    rows.some((row) => row.name === name),
    `there is no "${name}"`,
  );
  return rows.filter((row) => row.name !== name);
}

function getDeployment(
  configuration: Configuration,
  name: string,
): Deployment {
  const found = configuration.deployments.find((deployment) =>
    deployment.name === name
  );
  requireCondition(found !== undefined, `there is no deployment "${name}"`);
  return found;
}

/** Refuses changes to a deployment of another operator. */
function requireOwner(
  configuration: Configuration,
  deployment: string,
  operator: string,
): void {
  const owner = getDeployment(configuration, deployment).operator;
  if (owner === operator) return;
  throw new OrderRefusedError(
    `operator ${operator} may not change ${deployment}`,
    MessageCode.ORDER_FORBIDDEN,
  );
}

function putDeployment(
  configuration: Configuration,
  value: Deployment,
  operator: string,
): Partial<Configuration> {
  requireName(value.name);
  requireCondition(
    value.kind !== DeploymentKind.DEPLOYMENT_KIND_UNSPECIFIED,
    "a deployment needs a kind",
  );
  const exists = configuration.deployments.some((deployment) =>
    deployment.name === value.name
  );
  if (exists) requireOwner(configuration, value.name, operator);
  return {
    deployments: upsertByName(configuration.deployments, {
      ...value,
      operator,
    }),
  };
}

function deleteDeployment(
  configuration: Configuration,
  name: string,
  operator: string,
): Partial<Configuration> {
  requireOwner(configuration, name, operator);
  const referrer = [...configuration.models, ...configuration.workloads].find((
    reference,
  ) => reference.deployment === name);
  requireCondition(referrer === undefined, `"${referrer?.name}" still uses it`);
  return {
    deployments: removeByName(configuration.deployments, name),
    rules: configuration.rules.filter((rule) => rule.deployment !== name),
  };
}

function applyAction(
  configuration: Configuration,
  action: Action,
  context: { operator: string; orderId: string; fencingNumber: number },
): Partial<Configuration> {
  const { operator } = context;
  switch (action.case) {
    case "putDeployment":
      return putDeployment(configuration, action.value, operator);
    case "deleteDeployment":
      return deleteDeployment(configuration, action.value, operator);
    case "putModel":
      requireName(action.value.name);
      requireOwner(configuration, action.value.deployment, operator);
      return { models: upsertByName(configuration.models, action.value) };
    case "deleteModel": {
      const referrer = configuration.workloads.find((workload) =>
        workload.model === action.value
      );
      requireCondition(
        referrer === undefined,
        `workload "${referrer?.name}" still uses it`,
      );
      const model = configuration.models.find((candidate) =>
        candidate.name === action.value
      );
      if (model) requireOwner(configuration, model.deployment, operator);
      return { models: removeByName(configuration.models, action.value) };
    }
    case "putWorkload": {
      const workload = action.value;
      requireName(workload.name);
      requireOwner(configuration, workload.deployment, operator);
      const kind = getDeployment(configuration, workload.deployment).kind;
      const needsPath = kind === DeploymentKind.PLAIN_SERVICE;
      requireCondition(
        !needsPath || workload.pathPrefix.startsWith("/"),
        "a plain service's workload needs a path prefix",
      );
      requireCondition(
        needsPath ||
          configuration.models.some((model) => model.name === workload.model),
        `there is no model "${workload.model}"`,
      );
      return { workloads: upsertByName(configuration.workloads, workload) };
    }
    case "deleteWorkload": {
      const workload = configuration.workloads.find((candidate) =>
        candidate.name === action.value
      );
      if (workload) requireOwner(configuration, workload.deployment, operator);
      return {
        workloads: removeByName(configuration.workloads, action.value),
      };
    }
    case "putRule": {
      const rule = action.value;
      requireOwner(configuration, rule.deployment, operator);
      const others = configuration.rules.filter((other) =>
        other.deployment !== rule.deployment
      );
      return { rules: [...others, rule] };
    }
    case "drain":
      requireName(action.value.name);
      return { drains: upsertByName(configuration.drains, action.value) };
    case "undrain":
      return { drains: removeByName(configuration.drains, action.value.name) };
    case "backendOrder": {
      requireOwner(configuration, action.value.deployment, operator);
      requireCondition(
        action.value.subject !== "",
        "the order needs a subject",
      );
      const order = {
        ...action.value,
        fencingNumber: BigInt(context.fencingNumber),
      };
      const retained = configuration.backendOrders.slice(
        1 - MAX_BACKEND_ORDERS,
      );
      return { backendOrders: [...retained, order] };
    }
    case "dissolve":
      requireCondition(
        configuration.dissolution === undefined,
        "the fleet is being dissolved already",
      );
      return { dissolution: { ...action.value, orderId: context.orderId } };
    default:
      throw new OrderRefusedError("the order has no action");
  }
}

/**
 * Applies an order to the configuration. Its expected version must have been
 * checked before. `fencingNumber` becomes the fencing token of a backend order;
 * backend servers that check it refuse an order with an old token.
 */
export function applyOrder(
  configuration: Configuration,
  order: Order,
  fencingNumber: number,
): OrderResult {
  try {
    requireCondition(order.operator !== "", "the order names no operator");
    const change = applyAction(configuration, order.action, {
      operator: order.operator,
      orderId: order.orderId,
      fencingNumber,
    });
    return {
      ok: true,
      configuration: create(ConfigurationSchema, {
        ...configuration,
        ...change,
        version: configuration.version + 1n,
        lastOrderId: order.orderId,
        lastOperator: order.operator,
      }),
    };
  } catch (error) {
    if (!(error instanceof OrderRefusedError)) throw error;
    return {
      ok: false,
      refusal: { code: error.code, reason: error.message },
    };
  }
}
