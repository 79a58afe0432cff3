import { type Configuration, type Deployment, type EntryRegistration, type SeparationRule, type Workload } from "../schema/mod.ts";
import { BackendView } from "./backend_view.ts";
import { type ServerPlace } from "./subsets.ts";
import { Suspicions } from "./suspicions.ts";
/** The view of one entry. */
export declare class FleetView {
    #private;
    readonly backends: BackendView;
    readonly suspicions: Suspicions;
    get configuration(): Configuration;
    get entries(): readonly EntryRegistration[];
    get entriesVersion(): number;
    /** Takes a configuration; false when it is no newer than the known one. */
    acceptConfiguration(configuration: Configuration): boolean;
    /** Takes the entries of the fleet; older versions are dropped. */
    acceptEntries(entries: EntryRegistration[], version: number): boolean;
    /** Entries that use a server, its owner first. */
    getUsers(server: ServerPlace): readonly EntryRegistration[];
    /**
     * The one entry that runs batch items and suspects on a server: the first of
     * its users, so that two entries never fill the same idle capacity.
     */
    tryGetOwner(server: ServerPlace): EntryRegistration | undefined;
    isDissolving(): boolean;
    /** Whether an operator drains the server or its host. */
    isDrained(...names: string[]): boolean;
    tryGetDeployment(name: string): Deployment | undefined;
    tryGetWorkload(name: string): Workload | undefined;
    tryGetRule(deployment: string): SeparationRule | undefined;
    /** The workload of a model, or of the longest prefix of a path. */
    tryFindWorkload(wanted: {
        model: string;
    } | {
        path: string;
    }): Workload | undefined;
}
