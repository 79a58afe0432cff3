/** An item's line: a body alone, or with an id of the caller's. */
export interface ItemLine {
    readonly customId: string;
    readonly body: Record<string, unknown>;
}
/** Parses the line of an item. */
export declare function parseItemLine(line: Uint8Array, number: number): ItemLine;
