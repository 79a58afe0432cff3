/** Names of a certificate's files. */
export interface CertificateFiles {
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}
/** Writes an authority and one certificate for each name. */
export declare function writeCertificates(folder: string, names: readonly string[]): Promise<Map<string, CertificateFiles>>;
