/**
 * An entry host's view of the fleet: the configuration, the registered entries
 * and the backend servers. Configurations and lists of entries carry versions,
 * and arrive repeatedly and out of order; only a higher version replaces the
 * current one.
 */
import { create } from "@bufbuild/protobuf";
import {
  type Configuration,
  ConfigurationSchema,
  type Deployment,
  type EntryRegistration,
  type SeparationRule,
  type Workload,
} from "../schema/mod.ts";
import { BackendView } from "./backend_view.ts";
import { selectEntriesForServer, type ServerLocation } from "./subsets.ts";
import { PromptPartSuspicions } from "./prompt_part_suspicions.ts";
import { Suspicions } from "./suspicions.ts";

/** Fleet state as known to one entry host. */
export class FleetView {
  readonly backends = new BackendView();
  readonly suspicions = new Suspicions();
  readonly promptParts = new PromptPartSuspicions();
  #configuration: Configuration = create(ConfigurationSchema);
  #entries: EntryRegistration[] = [];
  #entriesVersion = 0;
  /** Cache of {@linkcode getEntriesForServer}; cleared when entries change. */
  readonly #entriesByServer = new Map<string, EntryRegistration[]>();

  get configuration(): Configuration {
    return this.#configuration;
  }

  get entries(): readonly EntryRegistration[] {
    return this.#entries;
  }

  get entriesVersion(): number {
    return this.#entriesVersion;
  }

  /** Applies a configuration; false unless its version is higher. */
  acceptConfiguration(configuration: Configuration): boolean {
    if (configuration.version <= this.#configuration.version) return false;
    this.#configuration = configuration;
    return true;
  }

  /** Applies the list of entries; false unless its version is higher. */
  acceptEntries(entries: EntryRegistration[], version: number): boolean {
    if (version <= this.#entriesVersion) return false;
    this.#entries = entries;
    this.#entriesVersion = version;
    this.#entriesByServer.clear();
    return true;
  }

  /** Returns the entries that send requests to a server, its owner first. */
  getEntriesForServer(server: ServerLocation): readonly EntryRegistration[] {
    const key = `${server.dataCentre}/${server.name}`;
    const known = this.#entriesByServer.get(key);
    if (known !== undefined) return known;
    const entries = selectEntriesForServer(server, this.#entries);
    this.#entriesByServer.set(key, entries);
    return entries;
  }

  /**
   * Returns the owner of a server: the only entry that runs batch items and
   * suspect requests there, so that two entries never fill the same idle
   * capacity. It is the first of the server's entries.
   */
  tryGetOwner(server: ServerLocation): EntryRegistration | undefined {
    return this.getEntriesForServer(server)[0];
  }

  /** Whether an operator dissolves the fleet; new requests are then refused. */
  isDissolving(): boolean {
    return this.#configuration.dissolution !== undefined;
  }

  /** Whether an operator has drained a server or host with one of the names. */
  isDrained(...names: string[]): boolean {
    return this.#configuration.drains.some((drain) =>
      names.includes(drain.name)
    );
  }

  tryGetDeployment(name: string): Deployment | undefined {
    return this.#configuration.deployments.find((deployment) =>
      deployment.name === name
    );
  }

  tryGetWorkload(name: string): Workload | undefined {
    return this.#configuration.workloads.find((workload) =>
      workload.name === name
    );
  }

  tryGetSeparationRule(deployment: string): SeparationRule | undefined {
    return this.#configuration.rules.find((rule) =>
      rule.deployment === deployment
    );
  }

  /** Finds a workload by model or name, or by the longest path prefix. */
  tryFindWorkload(
    wanted: { model: string } | { path: string },
  ): Workload | undefined {
    const { workloads } = this.#configuration;
    if ("model" in wanted) {
      return workloads.find((workload) => workload.model === wanted.model) ??
        workloads.find((workload) => workload.name === wanted.model);
    }
    return workloads
      .filter((workload) => matchesPathPrefix(workload.pathPrefix, wanted.path))
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  }
}

function matchesPathPrefix(prefix: string, path: string): boolean {
  if (prefix === "") return false;
  const pathname = path.split("?")[0] ?? "";
  const base = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
  return pathname === base || pathname.startsWith(`${base}/`);
}
