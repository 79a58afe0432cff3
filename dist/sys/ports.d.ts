/** Ports that were free a moment ago. */
export declare function findFreePorts(count: number): Promise<number[]>;
