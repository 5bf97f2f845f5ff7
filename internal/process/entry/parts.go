package entry

import "github.com/citronstream/citronstream/internal/route/outlier"

// Outliers returns the detector of outliers.
func (en *Entry) Outliers() *outlier.Detector { return en.outliers }
