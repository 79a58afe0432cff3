/** Name of the chosen server and the room for batch beside its load. */
export declare function runPolicyAlone(): {
    server: string;
    room: number;
};
