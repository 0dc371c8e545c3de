// Two core machines of five lose their disks, later than `catchUpS` after another one that had lost its disk is back.
import { rmSync, mkdirSync } from 'node:fs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Mesh, Operator, Record, sleep } from '../lib-2/mesh.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** 300 idle routes (site file) and one `big_config` of 481 routes (largest dose of the site file). */
const ROUTES = 781;
/** PROTOCOL.md: "A day may be long and may contain hundreds of changes." */
const CHANGES = Number(process.env.CHANGES ?? 150);
const DOWN_S = 1;
const CATCH_UP_S = 4;
/** The second loss comes this long after the first machine is back, so that it doesn't count as lost any more. */
const BETWEEN_S = CATCH_UP_S + 1;
const RECOVERY_S = 15;
/** PROTOCOL.md: the operator reads "repeatedly for at least `contactWindowS`" (3 s). */
const READ_FOR_S = 10;

const record = new Record(HERE);
const mesh = new Mesh();
const operator = new Operator(mesh);

/** Each change alters the time-outs of all routes. */
function buildConfiguration(version) {
  const limits = {
    maxHeaderBytes: 16384,
    maxBodyBytes: 67108864,
    headerTimeoutS: 3,
    idleTimeoutS: 15,
  };
  const resources = [
    {
      type: 'services',
      metadata: { name: 'stock' },
      spec: { healthPath: '/healthz', maxConnections: 120 },
    },
    { type: 'limits', metadata: {}, spec: limits },
  ];
  for (let route = 0; route < ROUTES; route += 1) {
    const spec = {
      host: `host${route % 40}.example`,
      pathPrefix: `/prefix${route}/`,
      kind: 'safe',
      timeoutS: 1.2 + (version % 50) / 100,
      targetLatencyS: 0.6,
      priority: 2,
      service: 'stock',
      maxAttempts: 2,
    };
    resources.push({ type: 'routes', metadata: { name: `r-${route}` }, spec });
  }
  return { version: `r${version}`, baseVersion: version === 1 ? 0 : `r${version - 1}`, resources };
}

/** Kills machines at the same moment; they come back with empty disks. */
async function loseDisks(machines) {
  for (const machine of machines) machine.signal('SIGKILL');
  await sleep(100);
  for (const machine of machines) {
    rmSync(machine.dataFolder, { recursive: true });
    mkdirSync(machine.dataFolder);
  }
  record.add(`killed, with the loss of the disk: ${machines.map(({ name }) => name).join(', ')}`);
  await sleep(DOWN_S * 1000 - 100);
  for (const machine of machines) machine.start(false);
  record.add('all machines are up');
}

async function run() {
  await mesh.open({ cores: 5, sidecars: 2 });
  for (const machine of mesh.machines) {
    machine.service = 'stock';
    machine.start(true);
  }
  if ((await operator.replace(buildConfiguration(1), 15_000)) !== 200) return 2;
  record.add(`the first configuration with ${ROUTES} routes is acknowledged`);
  await sleep(3000);
  let version = 1;
  while (version < CHANGES) {
    const status = await operator.replace(buildConfiguration(version + 1), 10_000);
    if (status !== 200) {
      record.add(`change r${version + 1} got ${status}`);
      return 2;
    }
    version += 1;
  }
  record.add(`r${version} is acknowledged`);
  await sleep(2000);
  if (HAS_TROUBLE) {
    await loseDisks(mesh.cores.slice(4));
    await sleep(BETWEEN_S * 1000);
    record.add(`the machine is back for longer than catchUpS (${CATCH_UP_S} s)`);
    await loseDisks(mesh.cores.slice(0, 2));
  }
  await sleep(RECOVERY_S * 1000);
  record.add('recoveryS is over; the operator reads the configuration back');
  const found = await operator.read(READ_FOR_S * 1000);
  const read = found === undefined ? undefined : JSON.parse(found.body).version;
  record.add(`read back: ${read ?? 'nothing'}, newest acknowledged r${version}`);
  const status = await operator.replace(buildConfiguration(version + 1), 5000);
  record.add(`change r${version + 1} got ${status ?? 'no answer but 5xx'}`);
  const isBroken = read !== `r${version}` && read !== `r${version + 1}`;
  record.add(isBroken ? 'LOST is broken: what was acknowledged is gone' : 'LOST holds');
  return isBroken ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
} finally {
  await mesh.close();
  record.add(`exit ${code}`);
  record.save();
}
process.exit(code);
