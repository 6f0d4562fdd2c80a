/**
 * Linear least squares by the normal equations; enough for fits with a few coefficients.
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
  /** Root mean square of measured minus fitted output. */
  readonly residual: number

  constructor (points: FitPoint[]) {
    this.coefficients = solve(equationsOf(points))
    this.residual = Math.sqrt(sum(points, ({ inputs, output }) => (output - this.predict(inputs)) ** 2) / points.length)
  }

  predict (inputs: number[]): number {
    return inputs.reduce((total, input, index) => total + input * at(this.coefficients, index), 0)
  }
}

/** The normal equations, as rows with the right side last. */
function equationsOf (points: FitPoint[]): number[][] {
  const count = points[0]?.inputs.length ?? 0
  const indexes = Array.from({ length: count }, (_, index) => index)
  return indexes.map(row => [
    ...indexes.map(column => sum(points, ({ inputs }) => at(inputs, row) * at(inputs, column))),
    sum(points, ({ inputs, output }) => at(inputs, row) * output)
  ])
}

/** Solves linear equations given as rows with the right side last, by elimination with row exchange. */
function solve (rows: number[][]): number[] {
  for (let pivot = 0; pivot < rows.length; pivot += 1) {
    const rest = rows.slice(pivot).sort((left, right) => Math.abs(at(right, pivot)) - Math.abs(at(left, pivot)))
    rows.splice(pivot, rest.length, ...rest)
    const pivotRow = rows[pivot] as number[]
    rows.forEach((row, index) => {
      if (index === pivot) return
      const factor = at(row, pivot) / at(pivotRow, pivot)
      row.forEach((value, column) => { row[column] = value - factor * at(pivotRow, column) })
    })
  }
  return rows.map((row, index) => at(row, rows.length) / at(row, index))
}

function sum (points: FitPoint[], value: (point: FitPoint) => number): number {
  return points.reduce((total, point) => total + value(point), 0)
}

function at (values: number[], index: number): number {
  return values[index] ?? 0
}
