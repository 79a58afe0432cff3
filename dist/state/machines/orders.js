/** What each order does to a configuration; pure and deterministic. */
import { create } from "@bufbuild/protobuf";
import { ConfigurationSchema, DeploymentKind, MessageCode, } from "../../schema/mod.js";
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
/** Backend orders kept in the configuration; older ones have been delivered. */
const MAX_BACKEND_ORDERS = 64;
class Refused extends Error {
    code;
    constructor(reason, code = MessageCode.ORDER_INVALID) {
        super(reason);
        this.code = code;
    }
}
function requireThat(holds, reason) {
    if (!holds)
        throw new Refused(reason);
}
function requireName(name) {
    requireThat(NAME_PATTERN.test(name), `name "${name}" must match ${NAME_PATTERN.source}`);
}
function replaceNamed(rows, row) {
    return [...rows.filter((other) => other.name !== row.name), row]
        .sort((a, b) => (a.name < b.name ? -1 : 1));
}
function removeNamed(rows, name) {
    requireThat(rows.some((row) => row.name === name), `there is no "${name}"`);
    return rows.filter((row) => row.name !== name);
}
function getDeployment(configuration, name) {
    const found = configuration.deployments.find((one) => one.name === name);
    requireThat(found !== undefined, `there is no deployment "${name}"`);
    return found;
}
/** Refuses changes to what belongs to the other operator. */
function requireOwner(configuration, deployment, operator) {
    const owner = getDeployment(configuration, deployment).operator;
    if (owner === operator)
        return;
    throw new Refused(`operator ${operator} may not change ${deployment}`, MessageCode.ORDER_FORBIDDEN);
}
function putDeployment(configuration, value, operator) {
    requireName(value.name);
    requireThat(value.kind !== DeploymentKind.DEPLOYMENT_KIND_UNSPECIFIED, "a deployment needs a kind");
    const known = configuration.deployments.some((one) => one.name === value.name);
    if (known)
        requireOwner(configuration, value.name, operator);
    return {
        deployments: replaceNamed(configuration.deployments, {
            ...value,
            operator,
        }),
    };
}
function deleteDeployment(configuration, name, operator) {
    requireOwner(configuration, name, operator);
    const used = [...configuration.models, ...configuration.workloads].find((one) => one.deployment === name);
    requireThat(used === undefined, `"${used?.name}" still uses it`);
    return {
        deployments: removeNamed(configuration.deployments, name),
        rules: configuration.rules.filter((rule) => rule.deployment !== name),
    };
}
function applyAction(configuration, action, context) {
    const { operator } = context;
    switch (action.case) {
        case "putDeployment":
            return putDeployment(configuration, action.value, operator);
        case "deleteDeployment":
            return deleteDeployment(configuration, action.value, operator);
        case "putModel":
            requireName(action.value.name);
            requireOwner(configuration, action.value.deployment, operator);
            return { models: replaceNamed(configuration.models, action.value) };
        case "deleteModel": {
            const used = configuration.workloads.find((one) => one.model === action.value);
            requireThat(used === undefined, `workload "${used?.name}" still uses it`);
            const model = configuration.models.find((one) => one.name === action.value);
            if (model)
                requireOwner(configuration, model.deployment, operator);
            return { models: removeNamed(configuration.models, action.value) };
        }
        case "putWorkload": {
            const workload = action.value;
            requireName(workload.name);
            requireOwner(configuration, workload.deployment, operator);
            const kind = getDeployment(configuration, workload.deployment).kind;
            const needsPath = kind === DeploymentKind.PLAIN_SERVICE;
            requireThat(!needsPath || workload.pathPrefix.startsWith("/"), "a plain service's workload needs a path prefix");
            requireThat(needsPath ||
                configuration.models.some((one) => one.name === workload.model), `there is no model "${workload.model}"`);
            return { workloads: replaceNamed(configuration.workloads, workload) };
        }
        case "deleteWorkload": {
            const workload = configuration.workloads.find((one) => one.name === action.value);
            if (workload)
                requireOwner(configuration, workload.deployment, operator);
            return {
                workloads: removeNamed(configuration.workloads, action.value),
            };
        }
        case "putRule": {
            const rule = action.value;
            requireOwner(configuration, rule.deployment, operator);
            const others = configuration.rules.filter((other) => other.deployment !== rule.deployment);
            return { rules: [...others, rule] };
        }
        case "drain":
            requireName(action.value.name);
            return { drains: replaceNamed(configuration.drains, action.value) };
        case "undrain":
            return { drains: removeNamed(configuration.drains, action.value.name) };
        case "backendOrder": {
            requireOwner(configuration, action.value.deployment, operator);
            requireThat(action.value.subject !== "", "the order needs a subject");
            const order = {
                ...action.value,
                fencingNumber: BigInt(context.fencingNumber),
            };
            const kept = configuration.backendOrders.slice(1 - MAX_BACKEND_ORDERS);
            return { backendOrders: [...kept, order] };
        }
        case "dissolve":
            requireThat(configuration.dissolution === undefined, "the fleet is being dissolved already");
            return { dissolution: { ...action.value, orderId: context.orderId } };
        default:
            throw new Refused("the order has no action");
    }
}
/** Applies an order to a configuration of the expected version. */
export function applyOrder(configuration, order, fencingNumber) {
    try {
        requireThat(order.operator !== "", "the order names no operator");
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
    }
    catch (error) {
        if (!(error instanceof Refused))
            throw error;
        return {
            ok: false,
            refusal: { code: error.code, reason: error.message },
        };
    }
}
//# sourceMappingURL=orders.js.map