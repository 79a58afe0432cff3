/** Source of random numbers. */
export declare abstract class Random {
    /** A number from 0 (inclusive) to 1 (exclusive). */
    abstract getFraction(): number;
    /** An identifier that no other call returns. */
    abstract createId(): string;
    /** An integer from 0 (inclusive) to `limit` (exclusive). */
    getBelow(limit: number): number;
}
/** The machine's own randomness. */
export declare class SystemRandom extends Random {
    getFraction(): number;
    createId(): string;
}
/** A repeatable sequence from a seed. */
export declare class SeededRandom extends Random {
    #private;
    constructor(seed: number);
    getFraction(): number;
    createId(): string;
}
/** SHA-256 of the parts, each ended by a zero byte, as lower-case hex. */
export declare function getDigestHex(...parts: (string | Uint8Array)[]): string;
/** SHA-256 of `bytes`. */
export declare function getDigest(bytes: string | Uint8Array): Uint8Array;
/** A fast, stable 32-bit hash for placement; never for identity. */
export declare function getPlacementHash(text: string): number;
/** The `count` candidates with the highest rendezvous weight for `key`. */
export declare function selectByRendezvous<T>(key: string, candidates: readonly T[], options: {
    count: number;
    getName: (candidate: T) => string;
}): T[];
