/** Commands by id, for oclif's explicit command discovery. */
import { BatchCancel } from './commands/batch/BatchCancel.js';
import { BatchResults } from './commands/batch/BatchResults.js';
import { BatchStatus } from './commands/batch/BatchStatus.js';
import { BatchSubmit } from './commands/batch/BatchSubmit.js';
import { ConfigApply } from './commands/config/ConfigApply.js';
import { ConfigGet } from './commands/config/ConfigGet.js';
import { ConfigHistory } from './commands/config/ConfigHistory.js';
import { ConfigPlan } from './commands/config/ConfigPlan.js';
import { Explain } from './commands/Explain.js';
import { HostDrain } from './commands/host/HostDrain.js';
import { HostList } from './commands/host/HostList.js';
import { KeyGrant } from './commands/key/KeyGrant.js';
import { KeyList } from './commands/key/KeyList.js';
import { KeyWithdraw } from './commands/key/KeyWithdraw.js';
import { Status } from './commands/Status.js';

/** Commands by id. */
export const COMMANDS = {
  'batch:cancel': BatchCancel,
  'batch:results': BatchResults,
  'batch:status': BatchStatus,
  'batch:submit': BatchSubmit,
  'config:apply': ConfigApply,
  'config:get': ConfigGet,
  'config:history': ConfigHistory,
  'config:plan': ConfigPlan,
  explain: Explain,
  'host:drain': HostDrain,
  'host:list': HostList,
  'key:grant': KeyGrant,
  'key:list': KeyList,
  'key:withdraw': KeyWithdraw,
  status: Status,
};
