/** Certificates for tests: an authority and what it signs. */
import { writeFile } from "node:fs/promises";
import path from "node:path";
import forge from "node-forge";

const KEY_BITS = 2_048;
const YEAR_MS = 365 * 24 * 3_600_000;

interface Issuer {
  readonly key: forge.pki.PrivateKey;
  readonly subject: forge.pki.CertificateField[];
}

/** Names of a certificate's files. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

function createCertificate(options: {
  name: string;
  serial: number;
  isAuthority: boolean;
  issuer?: Issuer;
}) {
  const keys = forge.pki.rsa.generateKeyPair({ bits: KEY_BITS });
  const certificate = forge.pki.createCertificate();
  const subject = [{ name: "commonName", value: options.name }];
  certificate.publicKey = keys.publicKey;
  certificate.serialNumber = String(options.serial).padStart(2, "0");
  certificate.validity.notBefore = new Date(Date.now() - YEAR_MS);
  certificate.validity.notAfter = new Date(Date.now() + YEAR_MS);
  certificate.setSubject(subject);
  certificate.setIssuer(options.issuer?.subject ?? subject);
  certificate.setExtensions([
    { name: "basicConstraints", cA: options.isAuthority },
    { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
  ]);
  const key = options.issuer?.key ?? keys.privateKey;
  certificate.sign(
    key as forge.pki.rsa.PrivateKey,
    forge.md.sha256.create(),
  );
  return { certificate, key: keys.privateKey, subject };
}

/** Writes an authority and one certificate for each name. */
export async function writeCertificates(
  folder: string,
  names: readonly string[],
): Promise<Map<string, CertificateFiles>> {
  const authority = createCertificate({
    name: "authority",
    serial: 1,
    isAuthority: true,
  });
  const authorityFile = path.join(folder, "authority.pem");
  await writeFile(
    authorityFile,
    forge.pki.certificateToPem(authority.certificate),
  );
  const files = new Map<string, CertificateFiles>();
  for (const [index, name] of names.entries()) {
    const issued = createCertificate({
      name,
      serial: index + 2,
      isAuthority: false,
      issuer: authority,
    });
    const certificate = path.join(folder, `${name}.pem`);
    const key = path.join(folder, `${name}.key`);
    await writeFile(
      certificate,
      forge.pki.certificateToPem(issued.certificate),
    );
    await writeFile(key, forge.pki.privateKeyToPem(issued.key));
    files.set(name, { certificate, key, authority: authorityFile });
  }
  return files;
}
