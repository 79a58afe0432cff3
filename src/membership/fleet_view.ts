/**
 * What an entry knows of the fleet: the configuration, the entries and the
 * backend servers. The configuration only ever moves to a higher version.
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
import { selectUsers, type ServerLocation } from "./subsets.ts";
import { Suspicions } from "./suspicions.ts";

/** The view of one entry. */
export class FleetView {
  readonly backends = new BackendView();
  readonly suspicions = new Suspicions();
  #configuration: Configuration = create(ConfigurationSchema);
  #entries: EntryRegistration[] = [];
  #entriesVersion = 0;
  /** Users by server; emptied when the entries change. */
  readonly #users = new Map<string, EntryRegistration[]>();

  get configuration(): Configuration {
    return this.#configuration;
  }

  get entries(): readonly EntryRegistration[] {
    return this.#entries;
  }

  get entriesVersion(): number {
    return this.#entriesVersion;
  }

  /** Takes a configuration; false when it is no newer than the known one. */
  acceptConfiguration(configuration: Configuration): boolean {
    if (configuration.version <= this.#configuration.version) return false;
    this.#configuration = configuration;
    return true;
  }

  /** Takes the entries of the fleet; older versions are dropped. */
  acceptEntries(entries: EntryRegistration[], version: number): boolean {
    if (version <= this.#entriesVersion) return false;
    this.#entries = entries;
    this.#entriesVersion = version;
    this.#users.clear();
    return true;
  }

  /** Entries that use a server, its owner first. */
  getUsers(server: ServerLocation): readonly EntryRegistration[] {
    const key = `${server.dataCentre}/${server.name}`;
    const known = this.#users.get(key);
    if (known !== undefined) return known;
    const users = selectUsers(server, this.#entries);
    this.#users.set(key, users);
    return users;
  }

  /**
   * The one entry that runs batch items and suspects on a server: the first of
   * its users, so that two entries never fill the same idle capacity.
   */
  tryGetOwner(server: ServerLocation): EntryRegistration | undefined {
    return this.getUsers(server)[0];
  }

  isDissolving(): boolean {
    return this.#configuration.dissolution !== undefined;
  }

  /** Whether an operator drains the server or its host. */
  isDrained(...names: string[]): boolean {
    return this.#configuration.drains.some((mark) => names.includes(mark.name));
  }

  tryGetDeployment(name: string): Deployment | undefined {
    return this.#configuration.deployments.find((one) => one.name === name);
  }

  tryGetWorkload(name: string): Workload | undefined {
    return this.#configuration.workloads.find((one) => one.name === name);
  }

  tryGetRule(deployment: string): SeparationRule | undefined {
    return this.#configuration.rules.find((rule) =>
      rule.deployment === deployment
    );
  }

  /** The workload of a model, or of the longest prefix of a path. */
  tryFindWorkload(
    wanted: { model: string } | { path: string },
  ): Workload | undefined {
    const { workloads } = this.#configuration;
    if ("model" in wanted) {
      return workloads.find((one) => one.model === wanted.model) ??
        workloads.find((one) => one.name === wanted.model);
    }
    return workloads
      .filter((one) => matchesPathPrefix(one.pathPrefix, wanted.path))
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  }
}

function matchesPathPrefix(prefix: string, path: string): boolean {
  if (prefix === "") return false;
  const pathname = path.split("?")[0] ?? "";
  const base = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
  return pathname === base || pathname.startsWith(`${base}/`);
}
