/**
 * Settings: TOML text checked against the schema, which also carries ranges
 * and defaults. Every fault is reported, with its line and key.
 */
import { type DescMessage, type MessageShape } from "@bufbuild/protobuf";
import { MessageCode } from "../schema/mod.ts";
/** One fault of a settings file. */
export interface SettingsFault {
    readonly code: MessageCode;
    readonly text: string;
}
/** Checked settings, or what is wrong with them. */
export type SettingsResult<T> = {
    readonly ok: true;
    readonly settings: T;
} | {
    readonly ok: false;
    readonly faults: SettingsFault[];
};
type Table = {
    [key: string]: unknown;
};
/** Checks TOML text against a settings message. */
export declare function parseSettings<S extends DescMessage>(schema: S, text: string): SettingsResult<MessageShape<S>>;
/** Settings with every default, changed by `values`; for embedding. */
export declare function createSettings<S extends DescMessage>(schema: S, values: Table): MessageShape<S>;
export {};
