import type { RpcClient } from "../sys/rpc.ts";
/** What a manifest says of one file. */
export interface ManifestFile {
    readonly name: string;
    readonly lines: number;
    readonly sha256: string;
}
/** The manifest of an export. */
export interface Manifest {
    readonly operator: string;
    readonly jobs: number;
    readonly items: number;
    readonly requests: number;
    /** Items and requests whose outcome is "may have run". */
    readonly unknown: string[];
    /** Jobs that had not ended when they were exported. */
    readonly running: string[];
    readonly files: ManifestFile[];
}
/** Exports all results of an operator into a folder. */
export declare function exportOperator(client: RpcClient, options: {
    operator: string;
    folder: string;
}): Promise<Manifest>;
/** Checks an export's files against its manifest; throws EXPORT_INVALID. */
export declare function verifyExport(path: string): Promise<Manifest>;
