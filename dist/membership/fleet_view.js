/**
 * What an entry knows of the fleet: the configuration, the entries and the
 * backend servers. The configuration only ever moves to a higher version.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationSchema, } from "../schema/mod.js";
import { BackendView } from "./backend_view.js";
import { selectUsers } from "./subsets.js";
import { Suspicions } from "./suspicions.js";
/** The view of one entry. */
export class FleetView {
    backends = new BackendView();
    suspicions = new Suspicions();
    #configuration = create(ConfigurationSchema);
    #entries = [];
    #entriesVersion = 0;
    /** Users by server; emptied when the entries change. */
    #users = new Map();
    get configuration() {
        return this.#configuration;
    }
    get entries() {
        return this.#entries;
    }
    get entriesVersion() {
        return this.#entriesVersion;
    }
    /** Takes a configuration; false when it is no newer than the known one. */
    acceptConfiguration(configuration) {
        if (configuration.version <= this.#configuration.version)
            return false;
        this.#configuration = configuration;
        return true;
    }
    /** Takes the entries of the fleet; older versions are dropped. */
    acceptEntries(entries, version) {
        if (version <= this.#entriesVersion)
            return false;
        this.#entries = entries;
        this.#entriesVersion = version;
        this.#users.clear();
        return true;
    }
    /** Entries that use a server, its owner first. */
    getUsers(server) {
        const key = `${server.dataCentre}/${server.name}`;
        const known = this.#users.get(key);
        if (known !== undefined)
            return known;
        const users = selectUsers(server, this.#entries);
        this.#users.set(key, users);
        return users;
    }
    /**
     * The one entry that runs batch items and suspects on a server: the first of
     * its users, so that two entries never fill the same idle capacity.
     */
    tryGetOwner(server) {
        return this.getUsers(server)[0];
    }
    isDissolving() {
        return this.#configuration.dissolution !== undefined;
    }
    /** Whether an operator drains the server or its host. */
    isDrained(...names) {
        return this.#configuration.drains.some((mark) => names.includes(mark.name));
    }
    tryGetDeployment(name) {
        return this.#configuration.deployments.find((one) => one.name === name);
    }
    tryGetWorkload(name) {
        return this.#configuration.workloads.find((one) => one.name === name);
    }
    tryGetRule(deployment) {
        return this.#configuration.rules.find((rule) => rule.deployment === deployment);
    }
    /** The workload of a model, or of the longest prefix of a path. */
    tryFindWorkload(wanted) {
        const { workloads } = this.#configuration;
        if ("model" in wanted) {
            return workloads.find((one) => one.model === wanted.model) ??
                workloads.find((one) => one.name === wanted.model);
        }
        return workloads
            .filter((one) => isPrefix(one.pathPrefix, wanted.path))
            .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
    }
}
function isPrefix(prefix, path) {
    if (prefix === "")
        return false;
    const whole = path.split("?")[0] ?? "";
    const base = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
    return whole === base || whole.startsWith(`${base}/`);
}
//# sourceMappingURL=fleet_view.js.map