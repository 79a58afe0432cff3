import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import { type ProcessContext } from "../services/mod.ts";
import { ServingError } from "../sys/errors.ts";
/** Reads a settings file; each fault becomes a line of the error. */
export declare function readSettings<S extends DescMessage>(schema: S, path: string): MessageShape<S>;
/** All faults of a settings file. */
export declare class SettingsError extends ServingError {
    readonly faults: readonly string[];
    constructor(path: string, faults: readonly string[]);
}
/** The line that a person sees of an error. */
export declare function formatFailure(thrown: unknown): string;
/** A host as the daemon sees it. */
export interface DaemonHost {
    /** Opens ports and starts; resolves with the fields of the ready line. */
    start(): Promise<Record<string, string>>;
    /** Stops without cutting off a request. */
    stop(): Promise<void>;
    /** Called by the host when it can't go on. */
    onFailure?: (error: unknown) => void;
}
/** Runs a daemon from its command line until a signal ends it. */
export declare function runDaemon<S extends DescMessage>(options: {
    name: string;
    description: string;
    schema: S;
    createHost: (settings: MessageShape<S>, context: ProcessContext) => DaemonHost;
}): Promise<void>;
