package entry

import (
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
	"github.com/citronstream/citronstream/internal/limit/stagetime"
	"github.com/citronstream/citronstream/internal/route/outlier"
)

// Budget returns the retry budget of the process.
func (en *Entry) Budget() *retrybudget.Budget { return en.budget }

// Times returns the estimator of stage times.
func (en *Entry) Times() *stagetime.Estimator { return en.times }

// Outliers returns the detector of outliers.
func (en *Entry) Outliers() *outlier.Detector { return en.outliers }
