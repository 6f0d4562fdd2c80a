/**
 * Linear least squares by the normal equations, which are accurate enough for a few coefficients.
 */

/** One measured point: the inputs of the model (1 for a constant term) and the measured output. */
export interface FitPoint {
  inputs: number[]
  output: number
}

/** A fitted model `output = sum of coefficient * input`. The inputs of the points have to be linearly independent. */
export class LinearFit {
  /** One coefficient for each input. */
  readonly coefficients: number[]
  /** Root mean square of the differences between measured and fitted outputs. */
  readonly residual: number

  constructor (points: FitPoint[]) {
    this.coefficients = solve(equationsOf(points))
    this.residual = Math.sqrt(sum(points, ({ inputs, output }) => (output - this.predict(inputs)) ** 2) / points.length)
  }

  predict (inputs: number[]): number {
    return inputs.reduce((total, input, index) => total + input * valueAt(this.coefficients, index), 0)
  }
}

/** The normal equations as an augmented matrix: rows with the right-hand side last. */
function equationsOf (points: FitPoint[]): number[][] {
  const count = points[0]?.inputs.length ?? 0
  const indexes = Array.from({ length: count }, (_, index) => index)
  return indexes.map(row => [
    ...indexes.map(column => sum(points, ({ inputs }) => valueAt(inputs, row) * valueAt(inputs, column))),
    sum(points, ({ inputs, output }) => valueAt(inputs, row) * output)
  ])
}

/** Solves an augmented matrix by Gauss-Jordan elimination with partial pivoting. */
function solve (rows: number[][]): number[] {
  for (let pivot = 0; pivot < rows.length; pivot += 1) {
    const remainingRows = rows.slice(pivot)
      .sort((left, right) => Math.abs(valueAt(right, pivot)) - Math.abs(valueAt(left, pivot)))
    rows.splice(pivot, remainingRows.length, ...remainingRows)
    const pivotRow = rows[pivot] as number[]
    rows.forEach((row, index) => {
      if (index === pivot) return
      const factor = valueAt(row, pivot) / valueAt(pivotRow, pivot)
      row.forEach((value, column) => { row[column] = value - factor * valueAt(pivotRow, column) })
    })
  }
  return rows.map((row, index) => valueAt(row, rows.length) / valueAt(row, index))
}

function sum (points: FitPoint[], value: (point: FitPoint) => number): number {
  return points.reduce((total, point) => total + value(point), 0)
}

function valueAt (values: number[], index: number): number {
  return values[index] ?? 0
}
