/** Stand-in for the table service: the DynamoDB JSON protocol, in memory. */
import {
  startStandinServer,
  type Standin,
  type StandinAddress,
  type StandinResponse,
  type StandinRequest,
} from '../core/startStandinServer.js';
import type { AttributeValue, Item } from './attributeValues.js';
import { evaluateCondition, type Placeholders } from './expressions.js';
import { invalid, ServiceError } from './ServiceError.js';
import { TableRows, type TableWrite, type WriteKind, type WriteInput } from './TableRows.js';

/** Address and limits of the stand-in. */
export interface TableStandinOptions extends StandinAddress {
  /** Maximum number of rows in a page of a query. */
  readonly pageRows?: number;
}

interface GetInput {
  readonly TableName: string;
  readonly Key: Item;
}

interface QueryInput extends Placeholders {
  readonly TableName: string;
  readonly KeyConditionExpression: string;
  readonly Limit?: number;
  readonly ScanIndexForward?: boolean;
  readonly ExclusiveStartKey?: Item;
}

interface TransactInput {
  readonly TransactItems: readonly Partial<Record<WriteKind, WriteInput>>[];
  readonly ClientRequestToken?: string;
}

type Operation = (rows: TableRows, input: unknown) => unknown;

const DEFAULT_PAGE_ROWS = 1000;
const TARGET_PREFIX = 'DynamoDB_20120810.';
const CONTENT_TYPE = 'application/x-amz-json-1.0';

const listWrites = ({ TransactItems }: TransactInput): TableWrite[] =>
  TransactItems.map((item) => {
    const [entry] = Object.entries(item) as [WriteKind, WriteInput][];
    if (!entry) throw invalid('an item of the transaction is empty');
    return { kind: entry[0], input: entry[1] };
  });

const createWriteOperation =
  (kind: WriteKind): Operation =>
  (rows, input) => {
    rows.write({ kind, input: input as WriteInput });
    return {};
  };

/** Returns the partition key that a key condition selects. */
const getPartitionKey = (input: QueryInput): AttributeValue => {
  const [, name = '', value = ''] = /(#?\w+)\s*=\s*(:\w+)/.exec(input.KeyConditionExpression) ?? [];
  const attribute = input.ExpressionAttributeNames?.[name] ?? name;
  const key = input.ExpressionAttributeValues?.[value];
  if (attribute !== 'pk' || !key) throw invalid('the key condition must select one partition');
  return key;
};

const skipToStartKey = (
  items: readonly Item[],
  start: Item | undefined,
  forward: boolean,
): Item[] => {
  if (!start) return [...items];
  const from = Buffer.from(String(start.sk?.S));
  return items.filter((item) => {
    const comparison = Buffer.compare(Buffer.from(String(item.sk?.S)), from);
    return forward ? comparison > 0 : comparison < 0;
  });
};

const query = (rows: TableRows, input: QueryInput, pageRows: number): unknown => {
  const forward = input.ScanIndexForward ?? true;
  const sorted = rows.listPartition(input.TableName, getPartitionKey(input));
  const found = (forward ? sorted : sorted.reverse()).filter((item) =>
    evaluateCondition(input.KeyConditionExpression, input, item),
  );
  const rest = skipToStartKey(found, input.ExclusiveStartKey, forward);
  const page = rest.slice(0, Math.min(input.Limit ?? pageRows, pageRows));
  const last = page.at(-1);
  const hasMore = last !== undefined && page.length < rest.length;
  return {
    Items: page,
    Count: page.length,
    ...(hasMore ? { LastEvaluatedKey: { pk: last.pk, sk: last.sk } } : {}),
  };
};

const createOperations = (pageRows: number): Readonly<Record<string, Operation>> => ({
  GetItem: (rows, input) => {
    const { TableName, Key } = input as GetInput;
    const item = rows.get(TableName, Key);
    return item ? { Item: item } : {};
  },
  PutItem: createWriteOperation('Put'),
  UpdateItem: createWriteOperation('Update'),
  DeleteItem: createWriteOperation('Delete'),
  Query: (rows, input) => query(rows, input as QueryInput, pageRows),
  TransactWriteItems: (rows, input) => {
    const transaction = input as TransactInput;
    rows.transact(listWrites(transaction), transaction.ClientRequestToken);
    return {};
  },
});

const readOperations: ReadonlySet<string> = new Set(['GetItem', 'Query']);

const getOperationName = ({ headers }: StandinRequest): string =>
  String(headers['x-amz-target']).replace(TARGET_PREFIX, '');

const createErrorResponse = ({
  type,
  message,
  members,
  status,
}: ServiceError): StandinResponse => ({
  status,
  headers: { 'content-type': CONTENT_TYPE },
  body: JSON.stringify({
    __type: `com.amazonaws.dynamodb.v20120810#${type}`,
    message,
    ...members,
  }),
});

/** Error of a transaction that conflicts with another one on the same rows. */
const contentionError = new ServiceError(
  'TransactionCanceledException',
  'Transaction cancelled, please refer cancellation reasons for specific reasons [TransactionConflict]',
  { CancellationReasons: [{ Code: 'TransactionConflict', Message: 'Transaction is ongoing' }] },
);

/** Exception names for the fault `refuse`, by HTTP status. */
const errorTypes = new Map([
  [400, 'ProvisionedThroughputExceededException'],
  [500, 'InternalServerError'],
  [503, 'ServiceUnavailable'],
]);

/**
 * Starts the stand-in for the table service. Every table exists and has the keys `pk` and `sk`.
 *
 * @param options - address and limits
 * @returns the running stand-in
 */
export const startTableStandin = async (options: TableStandinOptions): Promise<Standin> => {
  const rows = new TableRows();
  const operations = createOperations(options.pageRows ?? DEFAULT_PAGE_ROWS);
  return startStandinServer(options, {
    isWrite: (request) => !readOperations.has(getOperationName(request)),
    onArrival(request) {
      if (getOperationName(request) !== 'TransactWriteItems') return () => undefined;
      const { ClientRequestToken } = JSON.parse(request.body.toString()) as TransactInput;
      return ClientRequestToken === undefined
        ? () => undefined
        : rows.recordArrival(ClientRequestToken);
    },
    handle(request) {
      const operation = operations[getOperationName(request)];
      try {
        if (!operation) throw invalid(`unknown operation ${getOperationName(request)}`);
        const output = operation(rows, JSON.parse(request.body.toString()));
        return {
          status: 200,
          headers: { 'content-type': CONTENT_TYPE },
          body: JSON.stringify(output),
        };
      } catch (error) {
        if (error instanceof ServiceError) return createErrorResponse(error);
        throw error;
      }
    },
    refuse(mode) {
      if (mode === 'contention') return createErrorResponse(contentionError);
      const status = mode === true ? 400 : mode;
      const type = errorTypes.get(status) ?? 'UnknownError';
      return createErrorResponse(new ServiceError(type, 'refused', {}, status));
    },
  });
};
